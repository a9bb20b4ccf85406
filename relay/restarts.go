package relay

import "time"

const (
	// restartNoticeTime is how long an ended exchange is remembered: the new process of
	// its server writes its record within a few heartbeats.
	restartNoticeTime = 5 * time.Second
	// maxEndedExchanges bounds the memory. The oldest ones are forgotten first.
	maxEndedExchanges = 256
)

// endedExchange is a request whose connection to a server ended before the answer, while
// the server went on to accept connections. Either the connection alone was lost, or the
// server crashed and was back at once, as with a supervisor that keeps its port open. The
// start time in the server's next record tells which.
type endedExchange struct {
	server  crashedEngine
	address string
	request string
	parts   []string
	at      time.Time
}

// recordEnd remembers an exchange that ended although its server accepts connections. A
// server that is about to stop ends its connections for that reason.
func (g *crashGuard) recordEnd(now time.Time, server Server, request string, parts []string) {
	if server.Leaving || g.fleet.isLeaving(server.ID) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.ended) >= maxEndedExchanges {
		g.ended = g.ended[1:]
	}
	g.ended = append(g.ended, endedExchange{
		server: crashedEngine{server.ID, server.StartTimeMillis}, address: server.Address, request: request, parts: parts, at: now,
	})
}

// recordRestarts records a crash for each ended exchange whose server has come back as
// another process.
func (g *crashGuard) recordRestarts(now time.Time) {
	for _, x := range g.takeRestarted(now) {
		g.recordCrash(now, x.request, x.server, x.parts)
	}
}

// takeRestarted removes and returns the ended exchanges whose servers have restarted.
func (g *crashGuard) takeRestarted(now time.Time) (restarted []endedExchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := g.ended[:0]
	for _, x := range g.ended {
		server, known := g.fleet.byAddress(x.address)
		switch {
		case now.Sub(x.at) >= restartNoticeTime:
		case known && (crashedEngine{server.ID, server.StartTimeMillis}) != x.server:
			restarted = append(restarted, x)
		default:
			waiting = append(waiting, x)
		}
	}
	g.ended = waiting
	return restarted
}
