package daemon

import (
	"context"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/chart"
	"github.com/sapphirefield/sapphirefield/logevent"
)

// States and events of the state chart entry_shutdown, which applies to both roles.
const (
	stateStarting chart.State = "starting"
	stateServing  chart.State = "serving"
	stateUnready  chart.State = "unready"
	stateDraining chart.State = "draining"
	stateClosing  chart.State = "closing"
	stateStopped  chart.State = "stopped"
	stateAborted  chart.State = "cut_off"

	eventConfigured          chart.Event = "revision"
	eventSignal              chart.Event = "signal"
	eventShutdownDelayPassed chart.Event = "notice_passed"
	eventDrained             chart.Event = "idle"
	eventClosed              chart.Event = "closed"
	eventSecondSignal        chart.Event = "second_signal"
	eventDrainTimeout        chart.Event = "drain_limit"
)

// drainer is the part of a role that a graceful shutdown uses.
type drainer interface {
	// Drain starts refusing new work.
	Drain()
	// Drained is closed once draining has started and no work is in progress.
	Drained() <-chan struct{}
	// InProgress counts the requests that an immediate stop would abort.
	InProgress() int
}

// lifecycle runs the state chart of a process from its start to its end.
type lifecycle struct {
	id      string
	logger  *log.Logger
	drainer drainer
	// configured is closed once a configuration revision is active.
	configured <-chan struct{}
	signals    <-chan os.Signal
	// shutdownDelay is how long the process reports itself unready before it refuses
	// requests.
	shutdownDelay time.Duration
	// drainTimeout bounds the shutdown from its signal on; 0 waits until the last
	// request has ended.
	drainTimeout time.Duration
	// endRequests ends the requests in progress with an answer when the shutdown has come
	// to its limit; may be nil.
	endRequests func()
	// onStateChange is called after each state change.
	onStateChange func(chart.State)

	chart *chart.Chart
	state chart.State
}

func newLifecycle() (*lifecycle, error) {
	c, err := chart.LoadEmbedded("entry_shutdown",
		[]chart.State{stateStarting, stateServing, stateUnready, stateDraining, stateClosing, stateStopped, stateAborted},
		[]chart.Event{eventConfigured, eventSignal, eventShutdownDelayPassed, eventDrained, eventClosed, eventSecondSignal, eventDrainTimeout},
	)
	if err != nil {
		return nil, err
	}
	return &lifecycle{chart: c, state: c.Initial(), onStateChange: func(chart.State) {}}, nil
}

// run returns when the process must end: nil if no request was aborted, otherwise
// an error with the number of aborted requests.
func (l *lifecycle) run(ctx context.Context) error {
	drainTimer := newStoppedTimer()
	delayTimer := newStoppedTimer()
	defer drainTimer.Stop()
	defer delayTimer.Stop()
	configured := l.configured
	for !l.chart.IsFinal(l.state) {
		var event chart.Event
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-configured:
			configured = nil
			event = eventConfigured
		case <-l.signals:
			if isClosed(configured) {
				// The load balancer may have found the process ready already.
				configured = nil
				if err := l.handleEvent(eventConfigured, delayTimer, drainTimer); err != nil {
					return err
				}
			}
			event = l.signalEvent()
		case <-delayTimer.C:
			event = eventShutdownDelayPassed
		case <-l.drained():
			event = eventDrained
		case <-drainTimer.C:
			event = eventDrainTimeout
		}
		if err := l.handleEvent(event, delayTimer, drainTimer); err != nil {
			return err
		}
	}
	if l.state == stateAborted {
		inProgress := l.drainer.InProgress()
		if l.endRequests != nil {
			l.endRequests()
		}
		logevent.Write(l.logger, logevent.DrainIncomplete).Str("id", l.id).Int("cut_off", inProgress).Msg("")
		return errors.Errorf("%d requests in progress were aborted", inProgress)
	}
	logevent.Write(l.logger, logevent.ProcessStopped).Str("id", l.id).Msg("")
	return nil
}

// newStoppedTimer returns a timer that does not fire before a Reset.
func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// signalEvent distinguishes the first signal from later ones.
func (l *lifecycle) signalEvent() chart.Event {
	if l.state == stateStarting || l.state == stateServing {
		return eventSignal
	}
	return eventSecondSignal
}

// drained returns a nil channel, which blocks forever, unless the process is draining.
func (l *lifecycle) drained() <-chan struct{} {
	if l.state != stateDraining {
		return nil
	}
	return l.drainer.Drained()
}

// handleEvent applies an event to the chart and acts on the new state.
func (l *lifecycle) handleEvent(event chart.Event, delayTimer, drainTimer *time.Timer) error {
	next, err := l.chart.Next(l.state, event)
	if err != nil {
		// The event has no effect in this state, such as a revision during a shutdown.
		return nil
	}
	previous := l.state
	l.state = next
	l.onStateChange(next)
	switch next {
	case stateUnready:
		delay := l.shutdownDelay
		if previous == stateStarting {
			delay = 0 // the load balancer has never found the process ready
		}
		delayTimer.Reset(delay)
		if l.drainTimeout > 0 {
			drainTimer.Reset(l.drainTimeout)
		}
	case stateDraining:
		l.drainer.Drain()
	case stateClosing:
		return l.handleEvent(eventClosed, delayTimer, drainTimer)
	}
	return nil
}
