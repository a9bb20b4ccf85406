package relay

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/sapphirefield/sapphirefield/bootclock"
	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// pulseInterval is how often a process notes that it runs.
	pulseInterval = 100 * time.Millisecond
	// maxPulseAge is the age of the last note above which the process has been held
	// up: stopped, suspended or without processor time.
	maxPulseAge = time.Second
	// confirmTimeout bounds the wait of requests for the configuration after that.
	// While the store does not answer, the known configuration stays in force.
	confirmTimeout = 400 * time.Millisecond
)

// pauseGuard notices that the process was held up. Keys and routes may have been
// removed meanwhile, so that requests must not be judged by the known configuration
// before it has been read again.
type pauseGuard struct {
	// pulse is when the process last noted that it runs, by bootclock, in
	// nanoseconds.
	pulse  atomic.Int64
	reload singleflight.Group
}

func (g *pauseGuard) beat(now time.Time) { g.pulse.Store(now.UnixNano()) }

// wasHeldUp reports whether the process was held up until a moment ago.
func (g *pauseGuard) wasHeldUp(now time.Time) bool {
	last := g.pulse.Load()
	return last != 0 && now.UnixNano()-last > int64(maxPulseAge)
}

// runPulse notes that the process runs until ctx ends. After a pause, it reads the
// configuration before it does so.
func (e *Entry) runPulse(ctx context.Context) error {
	for ctx.Err() == nil {
		if e.pause.wasHeldUp(bootclock.Now()) {
			e.confirmConfiguration()
		}
		e.pause.beat(bootclock.Now())
		due := time.Now().Add(pulseInterval)
		sleep(ctx, pulseInterval)
		e.requestMetrics.pulseDelay.Update(max(time.Since(due), 0).Milliseconds())
	}
	return ctx.Err()
}

// confirmConfiguration reads the configuration again and ends the pause. Concurrent
// calls share one read, which is not tied to the context of one request but ends with the
// process.
func (e *Entry) confirmConfiguration() {
	_, _, _ = e.pause.reload.Do("", func() (any, error) {
		held := time.Duration(bootclock.Now().UnixNano() - e.pause.pulse.Load())
		ctx, cancel := context.WithTimeout(e.shutdown.ended, confirmTimeout)
		defer cancel()
		batch, err := e.store.ReadLatest(ctx, TopicConfiguration)
		e.applyNewestConfiguration(batch.Records)
		e.pause.beat(bootclock.Now())
		logevent.Write(e.logger, logevent.ProcessWasHeldUp).Dur("held_ms", held).Int64("revision", e.Revision()).AnErr("cause", err).Msg("")
		return nil, nil
	})
}
