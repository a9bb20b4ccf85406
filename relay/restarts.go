package relay

import (
	"context"
	"time"

	"github.com/sapphirefield/sapphirefield/bootclock"
)

const (
	// minRestartNotice is the least time for which an ended exchange is remembered, and
	// restartNoticeBeats that time in heartbeats: the new process of its server writes
	// its record within one, and it is read and passed on within another.
	minRestartNotice   = 5 * time.Second
	restartNoticeBeats = 4
	// maxEndedExchanges bounds the memory. The oldest ones are forgotten first.
	maxEndedExchanges = 256
	// leaveProbeDelay is how long after its client has left a request's server is asked
	// whether it still runs, and leaveNotice how long the crash of a server is attributed
	// to requests whose clients have left.
	leaveProbeDelay = 50 * time.Millisecond
	leaveNotice     = time.Second
)

// endedExchange is a request whose connection to a server ended before the answer, while
// the server went on to accept connections. Either the connection alone was lost, or the
// server crashed and was back at once, as with a supervisor that keeps its port open. The
// start time in the server's next record tells which.
type endedExchange struct {
	server  Server
	request string
	parts   []string
	at      time.Time
	// timeWithoutNews is that of the guard when the exchange ended.
	timeWithoutNews time.Duration
}

// hasRestarted reports whether the server that is now known at the address is a later
// process of the same service. An older one comes from an older copy of the store.
func (x endedExchange) hasRestarted(now Server) bool {
	return now.Service == x.server.Service && now.StartTimeMillis > x.server.StartTimeMillis
}

// restartNotice returns how long an ended exchange is remembered.
func (g *crashGuard) restartNotice() time.Duration {
	return max(minRestartNotice, restartNoticeBeats*g.settings.Heartbeat)
}

// recordEnd remembers an exchange that ended although its server accepts connections. A
// server that is about to stop ends its connections for that reason, and a process that
// was held up may have missed that it was.
func (g *crashGuard) recordEnd(now time.Time, server Server, request string, parts []string) {
	if server.Leaving || g.fleet.isLeaving(server.ID) || g.pause.wasHeldUp(bootclock.Now()) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.ended) >= maxEndedExchanges {
		g.ended = g.ended[1:]
	}
	g.ended = append(g.ended, endedExchange{server: server, request: request, parts: parts, at: now, timeWithoutNews: g.timeWithoutNews})
}

// recordRestarts records a crash for each ended exchange whose server has come back as
// another process.
func (g *crashGuard) recordRestarts(now time.Time) {
	g.countTimeWithoutNews(now)
	for _, x := range g.takeRestarted(now, g.fleet.byAddress) {
		g.recordCrash(now, x.request, crashedEngine{x.server.ID, x.server.StartTimeMillis}, x.parts)
	}
}

// takeRestarted removes and returns the ended exchanges whose servers have restarted.
func (g *crashGuard) takeRestarted(now time.Time, byAddress func(string) (Server, bool)) []endedExchange {
	return g.takeEnded(now, func(x endedExchange) bool {
		server, known := byAddress(x.server.Address)
		return known && x.hasRestarted(server)
	})
}

// takeEnded removes and returns the ended exchanges that are chosen, and forgets old ones.
func (g *crashGuard) takeEnded(now time.Time, isChosen func(endedExchange) bool) (taken []endedExchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := g.ended[:0]
	for _, x := range g.ended {
		switch {
		case g.isForgotten(now, x):
		case isChosen(x):
			taken = append(taken, x)
		default:
			waiting = append(waiting, x)
		}
	}
	g.ended = waiting
	return taken
}

// isForgotten reports whether an exchange ended so long ago that a restart of its server has
// nothing to do with it. Time without news of the servers does not count. The caller holds
// the lock.
func (g *crashGuard) isForgotten(now time.Time, x endedExchange) bool {
	return now.Sub(x.at)-(g.timeWithoutNews-x.timeWithoutNews) >= g.restartNotice()
}

// countTimeWithoutNews adds the time since the last call if this entry neither reads the
// servers' records nor hears from one that does.
func (g *crashGuard) countTimeWithoutNews(now time.Time) {
	hasNews := g.directory.readAge(bootclock.Now()) <= maxWatchAge || g.hasFreshWatcher()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !hasNews && !g.newsCheckedAt.IsZero() {
		g.timeWithoutNews += now.Sub(g.newsCheckedAt)
	}
	g.newsCheckedAt = now
}

// recordReplaced records a crash for each exchange that ended within a time at a server
// that has turned out to be gone: another process answers at its address, or none does.
func (g *crashGuard) recordReplaced(now time.Time, server Server, within time.Duration) {
	replaced := g.takeEnded(now, func(x endedExchange) bool {
		return x.server.ID == server.ID && x.server.StartTimeMillis == server.StartTimeMillis && now.Sub(x.at) < within
	})
	for _, x := range replaced {
		g.recordCrash(now, x.request, crashedEngine{server.ID, server.StartTimeMillis}, x.parts)
	}
}

// reportLeft suspects a request whose client has left before the answer if its server
// turns out to have crashed: the entry has closed the connection, whose end would have
// shown that. Only the request as a whole is suspected.
func (q *request) reportLeft(server Server) {
	g := q.crashes
	g.recordEnd(time.Now(), server, q.info.ID, []string{q.content()})
	if !q.silenceProbes.start(time.Now(), server.Address) {
		return
	}
	g.leaveProbes.Add(1)
	time.AfterFunc(leaveProbeDelay, func() {
		defer g.leaveProbes.Done()
		if q.pool.refuses(context.Background(), server.Address) {
			g.recordReplaced(time.Now(), server, leaveNotice)
		}
	})
}
