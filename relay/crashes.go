package relay

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sapphirefield/sapphirefield/logevent"
)

// crashProbeTimeout bounds the connection that shows whether a server still runs. One
// that works accepts it within a few milliseconds.
const crashProbeTimeout = 60 * time.Millisecond

// content identifies a request by what a client repeats when it sends it again: the
// target, the team and the body, but not the request's ID.
func (q *request) content() string {
	hash := xxhash.New()
	for _, text := range []string{q.team, q.r.Method, q.r.Host, q.r.RequestURI} {
		// Lengths keep neighbouring texts apart.
		_, _ = hash.WriteString(strconv.Itoa(len(text)) + ":" + text)
	}
	_, _ = hash.Write(q.body)
	return "request " + strconv.FormatUint(hash.Sum64(), 16)
}

// hasCrashed reports whether the server at an address does not accept connections.
func (p *pool) hasCrashed(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return true
	}
	conn.Close()
	return false
}

// reportCrash records that a server has ended while it worked on the request, if the
// error of the exchange and another connection show that. Another attempt may follow, so it waits until that is known.
func (q *request) reportCrash(ctx context.Context, server Server, err error) {
	if !connectionEnded(err) || ctx.Err() != nil || !q.pool.hasCrashed(ctx, server.Address) || ctx.Err() != nil {
		return
	}
	logevent.Write(q.logger, logevent.EngineCrashedUnderRequest).Str("server", server.ID).Int64("born", server.StartTimeMillis).
		Str("request", q.info.ID).Str("content", q.content()).Msg("")
}
