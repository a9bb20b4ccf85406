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

// States and events of the chart entry_shutdown, which both roles follow.
const (
	stateStarting chart.State = "starting"
	stateServing  chart.State = "serving"
	stateUnready  chart.State = "unready"
	stateDraining chart.State = "draining"
	stateClosing  chart.State = "closing"
	stateStopped  chart.State = "stopped"
	stateCutOff   chart.State = "cut_off"

	eventRevision     chart.Event = "revision"
	eventSignal       chart.Event = "signal"
	eventNoticePassed chart.Event = "notice_passed"
	eventIdle         chart.Event = "idle"
	eventClosed       chart.Event = "closed"
	eventSecondSignal chart.Event = "second_signal"
	eventDrainLimit   chart.Event = "drain_limit"
)

// worker is the part of a role that a graceful shutdown deals with.
type worker interface {
	// Drain makes the worker refuse new work.
	Drain()
	// Drained is closed once a draining worker has nothing in progress.
	Drained() <-chan struct{}
	// InProgress counts what a stop would cut off.
	InProgress() int
}

// lifecycle leads a process from its start to its end.
type lifecycle struct {
	id     string
	logger *log.Logger
	worker worker
	// revision is closed once a configuration revision is in force.
	revision <-chan struct{}
	signals  <-chan os.Signal
	// notice is how long the process reports itself unready before it refuses requests.
	notice time.Duration
	// limit bounds the drain; 0 waits until the last request has ended.
	limit time.Duration
	// onState is called at each change of state.
	onState func(chart.State)

	chart *chart.Chart
	state chart.State
}

func newLifecycle() (*lifecycle, error) {
	c, err := chart.LoadEmbedded("entry_shutdown",
		[]chart.State{stateStarting, stateServing, stateUnready, stateDraining, stateClosing, stateStopped, stateCutOff},
		[]chart.Event{eventRevision, eventSignal, eventNoticePassed, eventIdle, eventClosed, eventSecondSignal, eventDrainLimit},
	)
	if err != nil {
		return nil, err
	}
	return &lifecycle{chart: c, state: c.Initial(), onState: func(chart.State) {}}, nil
}

// run returns when the process must end: nil after a drain that cut off
// nothing, otherwise an error that counts what was cut off.
func (l *lifecycle) run(ctx context.Context) error {
	limit := newStoppedTimer()
	notice := newStoppedTimer()
	defer limit.Stop()
	defer notice.Stop()
	revision := l.revision
	for !l.chart.IsFinal(l.state) {
		var event chart.Event
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-revision:
			revision = nil
			event = eventRevision
		case <-l.signals:
			event = l.signalEvent()
		case <-notice.C:
			event = eventNoticePassed
		case <-l.drained():
			event = eventIdle
		case <-limit.C:
			event = eventDrainLimit
		}
		if err := l.step(event, notice, limit); err != nil {
			return err
		}
	}
	if l.state == stateCutOff {
		running := l.worker.InProgress()
		logevent.Write(l.logger, logevent.DrainIncomplete).Str("id", l.id).Int("cut_off", running).Msg("")
		return errors.Errorf("%d requests in progress were cut off", running)
	}
	logevent.Write(l.logger, logevent.ProcessStopped).Str("id", l.id).Msg("")
	return nil
}

func newStoppedTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// signalEvent tells a first signal from a further one.
func (l *lifecycle) signalEvent() chart.Event {
	if l.state == stateStarting || l.state == stateServing {
		return eventSignal
	}
	return eventSecondSignal
}

// drained is a nil channel, which never fires, unless the process is draining.
func (l *lifecycle) drained() <-chan struct{} {
	if l.state != stateDraining {
		return nil
	}
	return l.worker.Drained()
}

// step takes an event and acts on the state that follows.
func (l *lifecycle) step(event chart.Event, notice, limit *time.Timer) error {
	next, err := l.chart.Next(l.state, event)
	if err != nil {
		// A revision that arrives during a shutdown changes nothing.
		return nil
	}
	l.state = next
	l.onState(next)
	switch next {
	case stateUnready:
		notice.Reset(l.notice)
		if l.limit > 0 {
			limit.Reset(l.limit)
		}
	case stateDraining:
		l.worker.Drain()
	case stateClosing:
		return l.step(eventClosed, notice, limit)
	}
	return nil
}
