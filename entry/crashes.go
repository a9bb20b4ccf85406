package entry

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirefield/sapphirefield/claim"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/quarantine"
	"github.com/sapphirefield/sapphirefield/wire"
)

const (
	// judgeDelay is how long after a suspicion it is judged. Those of other entries
	// arrive meanwhile.
	judgeDelay = 500 * time.Millisecond
	// soundProgress is how long an answer goes on until its request is taken for sound.
	soundProgress = 500 * time.Millisecond
	// maxSuspicionsPerSecond bounds the suspicions that an entry writes to the log.
	maxSuspicionsPerSecond = 64
)

// crashGuard blocks requests that crash backend servers. The entries share their
// suspicions through the stream of the claims, which all of them read anyway. It is
// safe for concurrent use.
type crashGuard struct {
	server *Server
	// active is set while something is under suspicion or blocked. As long as it is
	// not, no request needs to be looked at.
	active   atomic.Bool
	mu       sync.Mutex
	detector *quarantine.Detector
	// written counts the suspicions written to the log since writtenSince.
	written      int
	writtenSince time.Time
}

func newCrashGuard(s *Server) *crashGuard {
	return &crashGuard{server: s, detector: quarantine.New()}
}

// check returns a refusal if the content has crashed servers. content is called only if
// it is needed.
func (g *crashGuard) check(requestID string, content func() string) *problem.Problem {
	if !g.active.Load() {
		return nil
	}
	part := content()
	g.mu.Lock()
	defer g.mu.Unlock()
	block, blocked := g.detector.Blocked(now(), []string{part})
	if !blocked {
		return nil
	}
	p := problem.NotExecuted(problem.RequestBlocked, part+" has crashed servers")
	p.RetryAfter, p.RequestID = block.Remaining, requestID
	return p
}

// mayRepeat reports whether another attempt is no risk for the servers.
func (g *crashGuard) mayRepeat(content func() string) bool {
	if !g.active.Load() {
		return true
	}
	part := content()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.MayRepeat(now(), []string{part})
}

// observeFailure suspects a request if the reason of its failure says that the backend
// server has ended. incarnation is that of the server's sidecar.
func (g *crashGuard) observeFailure(requestID, instance, incarnation, reason, content string) {
	number, ended := wire.ParseServerEnded(reason)
	if !ended {
		return
	}
	logevent.Write(g.server.opts.Logger, logevent.EngineCrashedUnderRequest).Str("server", instance).
		Str("request", requestID).Str("content", content).Msg("")
	crash := xxhash.Sum64String(instance + " " + incarnation + " " + strconv.FormatUint(number, 10))
	s := quarantine.Suspicions(crash, []string{content})[0]
	at := now()
	g.suspect(at, s)
	if g.server.claims != nil && g.mayWrite(at) {
		g.server.claims.writeSuspicion(claim.Suspicion{Suspicion: s, At: at})
	}
}

// mayWrite counts a suspicion to be written to the log.
func (g *crashGuard) mayWrite(at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if at.Sub(g.writtenSince) >= time.Second {
		g.written, g.writtenSince = 0, at
	}
	g.written++
	return g.written <= maxSuspicionsPerSecond
}

// apply applies the suspicions of other entries. Those that are older than a block
// lasts say nothing any more; newer ones outlive a restart of all entries.
func (g *crashGuard) apply(suspicions []claim.Suspicion) {
	at := now()
	for _, s := range suspicions {
		if at.Sub(s.At) < quarantine.BlockTime {
			g.suspect(at, s.Suspicion)
		}
	}
}

func (g *crashGuard) suspect(at time.Time, s quarantine.Suspicion) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Suspect(at, s)
	g.active.Store(g.detector.Active())
	time.AfterFunc(judgeDelay, g.judge)
}

// judge blocks what has crashed too many servers.
func (g *crashGuard) judge() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, part := range g.detector.Decide(now()) {
		logevent.Write(g.server.opts.Logger, logevent.PromptPartBlocked).Str("part", part).Dur("remaining_ms", quarantine.BlockTime).Str("source", "suspicions").Msg("")
	}
	g.active.Store(g.detector.Active())
}

// observeAnswered records that a request was answered, so that it is under no suspicion.
func (g *crashGuard) observeAnswered(content func() string) {
	if !g.active.Load() {
		return
	}
	part := content()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.detector.ObserveSound(now(), part) {
		logevent.Write(g.server.opts.Logger, logevent.PromptPartReleased).Str("part", part).Str("cause", "the request was answered").Msg("")
	}
	g.active.Store(g.detector.Active())
}
