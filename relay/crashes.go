package relay

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/netpeek"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/quarantine"
)

const (
	// crashProbeTimeout bounds the connection that shows whether a server still runs. One
	// that works accepts it within a few milliseconds.
	crashProbeTimeout = 60 * time.Millisecond
	// crashProbeHold is how long the connection must stay open: something in front of
	// the server may accept it in its place.
	crashProbeHold = 20 * time.Millisecond
)

// content stands for what a client repeats when it sends the request again: the
// target, the team and the body, but not the request's ID.
func (q *request) content() string {
	if q.contentPart != "" {
		return q.contentPart
	}
	q.contentPart = quarantine.ContentPart(q.body, q.team, q.r.Method, q.r.Host, q.r.RequestURI)
	return q.contentPart
}

// suspectParts returns what may be the cause when servers crash under the request.
func (q *request) suspectParts() []string {
	return append(slices.Clone(q.info.PromptParts), q.content())
}

// blockedContent refuses the request if it has crashed servers before.
func (q *request) blockedContent() *problem.Problem {
	if !q.crashes.active.Load() {
		return nil
	}
	return q.refuseIfBlocked([]string{q.content()})
}

// blocked refuses the request if it crashes servers, by a part of its prompt or by its
// whole content.
func (q *request) blocked() *problem.Problem {
	if p := q.blockedPrompt(); p != nil {
		return p
	}
	return q.blockedContent()
}

// refuseIfBlocked refuses the request if one of these parts is blocked, unless it is let
// through to find out whether the part still crashes servers.
func (q *request) refuseIfBlocked(parts []string) *problem.Problem {
	block, blocked := q.crashes.blocked(time.Now(), parts)
	if !blocked || q.probesBlock {
		return nil
	}
	if q.crashes.mayProbe(time.Now(), q.info.ID, block) {
		q.probesBlock = true
		return nil
	}
	if quarantine.IsRequest(block.Part) {
		return q.retryLater(problem.RequestBlocked, block.Part+" has crashed servers", block.Remaining)
	}
	return q.retryLater(problem.PromptBlocked, "part "+block.Part+" of the prompt has crashed engines", block.Remaining)
}

// mayRepeat reports whether another attempt is no risk for the servers.
func (q *request) mayRepeat() bool {
	return !q.probesBlock && (!q.crashes.active.Load() || q.crashes.mayRepeat(time.Now(), q.suspectParts()))
}

// observeAnswered records that the request was answered, so that it is under no
// suspicion.
func (q *request) observeAnswered() {
	if q.crashes.active.Load() {
		q.crashes.observeSound(time.Now(), []string{q.content()})
	}
}

// probe opens a connection to the server at an address and reports whether the server ends
// it at once, or the error if there is no connection.
func (p *pool) probe(ctx context.Context, address string) (ends bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if conn.SetReadDeadline(time.Now().Add(crashProbeHold)) != nil {
		return false, nil
	}
	_, err = conn.Read(make([]byte, 1))
	return netpeek.IsConnectionEnd(err), nil
}

// hasCrashed reports whether the server at an address does not keep a new connection.
func (p *pool) hasCrashed(ctx context.Context, address string) bool {
	ends, err := p.probe(ctx, address)
	return ends || err != nil
}

// refuses reports whether the server at an address refuses a new connection or ends it at
// once. One that does not answer may be out of reach.
func (p *pool) refuses(ctx context.Context, address string) bool {
	ends, err := p.probe(ctx, address)
	return ends || errors.Is(err, syscall.ECONNREFUSED)
}

// reportCrash records that a server has ended while it worked on the request, if the
// error of the exchange and another connection show that. If the server accepts the
// connection, its next record shows whether it has restarted. Another attempt may follow, so
// it waits until that is known.
func (q *request) reportCrash(ctx context.Context, server Server, err error) {
	if !netpeek.IsConnectionEnd(err) || ctx.Err() != nil {
		return
	}
	crashed := q.pool.hasCrashed(ctx, server.Address)
	if ctx.Err() != nil {
		return
	}
	if !crashed {
		q.crashes.recordEnd(time.Now(), server, q.info.ID, q.suspectParts())
		return
	}
	q.crashes.recordCrash(time.Now(), q.info.ID, crashedEngine{server.ID, server.StartTimeMillis}, q.suspectParts())
}
