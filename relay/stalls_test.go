package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/pipeline"
)

// Guards against taking a busy engine for lost after a restart of many entries:
// the query waits behind the connections that all requests open.
func TestStallTimeoutIsLongerAfterStart(t *testing.T) {
	s := newStallChecker(&testEngines{}, &log.Logger{Level: log.PanicLevel})
	assert.Equal(t, s.timeout(s.startedAt.Add(settleTime-time.Millisecond)), settlingStallTimeout)
	assert.Equal(t, s.timeout(s.startedAt.Add(settleTime)), stallTimeout)
}

// Guards against an entry that presumes a full engine dead because it does not
// know what the engine still runs for entries that ended a moment ago. All
// streams through the engine would leave it at once.
func TestRefusalsAfterStartRaiseNoSuspicion(t *testing.T) {
	f := newFleet(rand.New(rand.NewPCG(1, 2)))
	const capacity = 100
	assert.Assert(t, !f.nameSuspect(f.startedAt.Add(settleTime-time.Millisecond), "x", capacity))
	assert.Assert(t, f.nameSuspect(f.startedAt.Add(settleTime), "x", capacity))
}

// Guards against an entry that is cut off or held up and takes one engine after
// another for dead, because none of them responds in time.
func TestOnlyOneTimeoutAtATimeCounts(t *testing.T) {
	var f timeoutFilter
	now := time.Now()
	assert.Assert(t, f.accept(now, "a"))
	for i := range 10 {
		now = now.Add(timeoutWindow)
		assert.Assert(t, !f.accept(now, string(rune('b'+i))))
	}
	assert.Assert(t, f.accept(now.Add(timeoutWindow+1), "b"))
	assert.Assert(t, f.accept(now.Add(timeoutWindow+2), "b"))
	assert.Assert(t, !f.accept(now.Add(timeoutWindow+3), "a"))
}

// respondingEngines respond to status queries, except the one at address dead.
type respondingEngines struct {
	testEngines
	dead string
}

func (e *respondingEngines) Status(_ context.Context, address string) (EngineStatus, error) {
	if address == e.dead {
		return EngineStatus{}, ErrNoResponse
	}
	return EngineStatus{}, nil
}

// Guards against streams of all entries that leave an engine because it refused
// one request, although it works and is merely full. Their prompts would fill the
// links between zones.
func TestOnlySuspectsWithoutResponseAreLeft(t *testing.T) {
	e := newTestEntry(t, streamRoute(true))
	e.fleet.setServers(time.Now(), map[string]Server{"head": testServer("head", 0, 2), "full": testServer("full", 2, 4), "dead": testServer("dead", 4, 8)})
	e.fleet.startedAt = time.Now().Add(-settleTime)
	e.stallChecker.engines = &respondingEngines{dead: "dead:1"}
	hops := []pipeline.Hop{{Engine: "head"}, {Engine: "full"}, {Engine: "dead"}}
	for _, id := range []string{"full", "dead"} {
		assert.Assert(t, e.fleet.nameSuspect(time.Now(), id, 100))
		e.verifySuspect(id, id+":1")
	}
	now := time.Now()
	assert.DeepEqual(t, e.fleet.suspectsOn(now, hops), []string{"dead"})
	assert.DeepEqual(t, e.fleet.suspectHashes(now), []uint64{serverHash("dead")})
	assert.Assert(t, e.fleet.lostFor(now.Add(time.Second), "dead") > 0)
	assert.Equal(t, e.fleet.lostFor(now, "full"), time.Duration(0))
}

// Guards against sound engines that an entry takes for dead because it was held up
// itself or its own link was busy: with a tenth of a core, that ended hundreds of
// streams. A dead engine is still found within one timeout.
func TestSilenceCountsOnlyWhileOthersAreHeard(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		heardAt, heardFrom, period, now int
		want                            silenceVerdict
	}{
		"others are heard":                     {heardAt: 55, heardFrom: -1, now: 60, want: engineSilent},
		"others were heard before":             {heardAt: 10, heardFrom: -1, now: 60},
		"link busy for several periods":        {heardAt: -5, heardFrom: -1, period: 240, now: 300},
		"others are heard again":               {heardAt: 350, heardFrom: -1, period: 300, now: 360, want: engineSilent},
		"process held up":                      {heardAt: 79, heardFrom: -1, now: 80},
		"process held up until the end":        {heardAt: 520, heardFrom: -1, period: 420, now: 520, want: silenceUnsure},
		"nobody is heard until the end":        {heardAt: -5, heardFrom: -1, period: 420, now: 480, want: engineSilent},
		"the engine sends events all the same": {heardAt: 50, heardFrom: 50, now: 60, want: silenceUnsure},
	} {
		s := newStallChecker(&testEngines{}, &log.Logger{Level: log.PanicLevel})
		s.heardAt = at(test.heardAt)
		q := &stallQuery{startedAt: start, heardAt: at(test.heardFrom)}
		assert.Equal(t, s.judge(at(test.now), at(test.period), stallTimeout, q, "a"), test.want, name)
	}
}

// muteEngines respond to no status query.
type muteEngines struct{ testEngines }

func (*muteEngines) Status(ctx context.Context, _ string) (EngineStatus, error) {
	<-ctx.Done()
	return EngineStatus{}, ErrNoResponse
}

// Guards against events that lie unread while an engine is asked for its status, and
// against an engine that is taken for lost although it sends them.
func TestStreamIsReadDuringStatusQuery(t *testing.T) {
	// The stream lasts beyond the verdict on the query.
	const (
		gap  = stallCheckDelay + suspectCheckInterval
		sent = int((maxStallWait+stallCheckDelay)/gap) + 2
	)
	b := newBackend(t, func(_ *backend, r *http.Request, conn net.Conn) bool {
		write(conn, streamHeader, r.Header.Get("Id"))
		for i := range sent {
			writeChunk(conn, event(i+1))
			time.Sleep(gap)
		}
		write(conn, "0\n\n")
		return true
	})
	e := newTestEntry(t, streamRoute(true), b)
	e.fleet.startedAt = time.Now().Add(-settleTime)
	e.stallChecker.engines, e.stallChecker.startedAt = &muteEngines{}, time.Now().Add(-settleTime)
	response, body, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, 200)
	assert.Equal(t, body, eventsText(sent))
	assert.Equal(t, b.count(), 1)
	assert.Equal(t, e.fleet.lostFor(time.Now(), "s0"), time.Duration(0))
}

// Guards against results that are not what the verdict says: a silent engine counts as
// lost only if it may be dead.
func TestMuteEngineIsSilentOrUnsure(t *testing.T) {
	for unsure, want := range map[bool]error{true: errInconclusive, false: ErrNoResponse} {
		synctest.Test(t, func(t *testing.T) {
			s := newStallChecker(&muteEngines{}, &log.Logger{Level: log.PanicLevel})
			s.startedAt = time.Now().Add(-settleTime)
			q := s.start("a")
			if unsure {
				time.Sleep(time.Millisecond)
				s.hear(time.Now(), "a")
			}
			<-q.done
			assert.ErrorIs(t, q.err, want)
		})
	}
}

// Guards against an entry that takes all engines for lost because its connections to them
// take too long at the same time. A refused connection tells of its engine.
func TestTimeoutsOfAllConnectionsAreNotBelieved(t *testing.T) {
	s := newStallChecker(&testEngines{}, &log.Logger{Level: log.PanicLevel})
	dialer := net.Dialer{Deadline: time.Now().Add(-1)}
	_, timeout := dialer.DialContext(t.Context(), "tcp4", "127.0.0.1:1")
	timeout = &exchangeError{errNotSent, timeout}
	assert.Assert(t, s.believes(timeout, "a"))
	assert.Assert(t, !s.believes(timeout, "b"))
	assert.Assert(t, !s.believes(timeout, "c"))
	assert.Assert(t, s.believes(&exchangeError{errNotSent, syscall.ECONNREFUSED}, "d"))
}

// dyingEngine answers a status query until it has died.
type dyingEngine struct {
	testEngines
	died    bool
	queries int
}

func (e *dyingEngine) Status(context.Context, string) (EngineStatus, error) {
	e.queries++
	if e.died {
		return EngineStatus{}, ErrNoResponse
	}
	return EngineStatus{}, nil
}

// Guards against a crash that an answer to an earlier query hides. Under load, engines are
// asked for their status all the time.
func TestEarlierAnswerDoesNotHideCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines := &dyingEngine{}
		e := newStoreEntry(newScriptedStore())
		e.stallChecker.engines = engines
		e.fleet.setServers(time.Now(), map[string]Server{"s": testServer("s", 0, 8)})
		time.Sleep(settleTime)
		assert.Assert(t, !e.verifySuspect("s", "a"))
		time.Sleep(stallResultTTL / 2)
		engines.died = true
		for range 40 { // the streams of the engine
			assert.Assert(t, e.verifySuspect("s", "a"))
		}
		assert.Equal(t, engines.queries, 2)
	})
}
