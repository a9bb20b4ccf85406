package daemon

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/clientconn"
	"github.com/sapphirefield/sapphirefield/connlimit"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/machine"
	"github.com/sapphirefield/sapphirefield/problem"
)

const (
	// noHeadMemoryRetryAfter is the Retry-After time while there is no memory for a large
	// header: others hold it for as long as their requests take.
	noHeadMemoryRetryAfter = time.Second
	// refusalTime bounds the write of a refusal, which fits in the socket's buffer.
	refusalTime = 100 * time.Millisecond
	// headReadSlack is how many bytes http.Server may read beyond a header.
	headReadSlack = 4 << 10
	// handshakeBytes are the bytes that a TLS handshake needs before the first header.
	handshakeBytes = 2 << 10
)

// clientLimits bound what clients hold.
type clientLimits struct {
	table *connlimit.Table
	// headLimit returns the largest size of a header in bytes, or 0 if there is none.
	headLimit func() int64
	// refusals counts the connections and headers that were refused for these limits.
	refusals metrics.Counter
}

// newClientLimits returns the limits of a listener for clients.
func newClientLimits(m machine.Machine, headLimit func() int64, registry metrics.Registry) clientLimits {
	limits := connlimit.Limits{Conns: m.ClientConns(), HeadMemory: m.HeadMemory()}
	return clientLimits{
		table: connlimit.NewTable(limits), headLimit: headLimit,
		refusals: metrics.GetOrRegisterCounter("clients.refused", registry),
	}
}

// reportInterval is the shortest time between two log lines on clients that were given up.
const reportInterval = time.Second

// report logs how many clients were given up or refused, until ctx ends.
func (l clientLimits) report(ctx context.Context, logger *log.Logger, id string) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var givenUp, refused int64
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		counts, refusals := l.table.Counts(), l.refusals.Count()
		if counts.GivenUp == givenUp && refusals == refused {
			continue
		}
		logevent.Write(logger, logevent.ClientsGivenUp).Str("id", id).Int("open", counts.Open).
			Int64("given_up", counts.GivenUp-givenUp).Int64("refused", refusals-refused).Msg("")
		givenUp, refused = counts.GivenUp, refusals
	}
}

const (
	// maxOperatorConns is the number of connections of operators and health checks at a
	// listener. Few of each are expected.
	maxOperatorConns = 64
	// operatorHeadBytes is the largest size of a header in bytes at such a listener, and
	// operatorHeadMemory the memory that large ones share.
	operatorHeadBytes  = 16 << 10
	operatorHeadMemory = 2 << 20
)

// operatorLimits returns the limits of a listener for operators or health checks.
func operatorLimits(registry metrics.Registry) clientLimits {
	return clientLimits{
		table:     connlimit.NewTable(connlimit.Limits{Conns: maxOperatorConns, HeadMemory: operatorHeadMemory}),
		headLimit: func() int64 { return operatorHeadBytes },
		refusals:  metrics.GetOrRegisterCounter("clients.refused", registry),
	}
}

// maxHeadBytes is the largest size of a header in bytes where no configuration sets one.
func maxHeadBytes() int64 { return maxRequestHeaderBytes }

// errClientRefused ends the reads of a connection whose client has been refused. http.Server
// answers no read error of a connection.
var errClientRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the client was refused")}

// countHead counts bytes of a header before http.Server parses them. It refuses the client
// if the header is too large, or if there is no memory for it.
func (c *trackedConn) countHead(p []byte) error {
	c.mu.Lock()
	if c.refused {
		c.mu.Unlock()
		return errClientRefused
	}
	if !c.readsHead || c.multiplexed {
		c.mu.Unlock()
		return nil
	}
	if c.encrypted {
		c.addEncrypted(len(p))
	} else {
		c.head.Add(p)
	}
	size, shared, encrypted := c.head.Size(), c.head.SharedMemory(), c.encrypted
	c.mu.Unlock()

	// http.Server refuses an encrypted header that is too large, with an answer.
	if limit := c.tracker.headLimit(); !encrypted && limit > 0 && int64(size) > limit+headReadSlack {
		c.refuse(problem.NotExecuted(problem.HeaderTooLarge, "the header is larger than allowed"))
		return errClientRefused
	}
	if !c.slot.Hold(shared) {
		c.tracker.refusals.Inc(1)
		c.refuse(noHeadMemoryProblem())
		return errClientRefused
	}
	return nil
}

// addEncrypted counts bytes of TLS. c.mu is held.
func (c *trackedConn) addEncrypted(n int) {
	if !c.used {
		handshake := min(n, handshakeBytes-c.handshake)
		c.handshake += handshake
		n -= handshake
	}
	c.head.AddUnseen(n)
}

func noHeadMemoryProblem() *problem.Problem {
	p := problem.NotExecuted(problem.Overloaded, "too many large headers are in memory")
	p.RetryAfter = noHeadMemoryRetryAfter
	return p
}

// answerTimeout answers a client whose header has not arrived in time when err ends its read.
// http.Server would take a part of a line for a whole one and call it malformed, which is no
// promise that the request was not executed.
func (c *trackedConn) answerTimeout(err error) {
	c.mu.Lock()
	late := errors.Is(err, os.ErrDeadlineExceeded) && c.readsHead && c.active && !c.encrypted && !c.multiplexed && !c.refused && !c.givenUp
	c.mu.Unlock()
	if late {
		c.refuse(problem.NotExecuted(problem.RequestTimeout, "the header did not arrive in time"))
	}
}

// refuse answers a client whose header is not read to its end. Nothing else is written on
// the connection after it.
func (c *trackedConn) refuse(p *problem.Problem) {
	c.mu.Lock()
	c.refused = true
	encrypted := c.encrypted
	c.mu.Unlock()
	if encrypted {
		return // the end of the connection must do
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	_ = writeRefusal(c.Conn, p) // fails if the client has left
}

// refusalWriter collects a response that is written without http.Server.
type refusalWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (w *refusalWriter) Header() http.Header         { return w.header }
func (w *refusalWriter) WriteHeader(status int)      { w.status = status }
func (w *refusalWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

func writeRefusal(conn io.Writer, p *problem.Problem) error {
	w := &refusalWriter{header: http.Header{}}
	p.Write(w)
	response := &http.Response{
		StatusCode: w.status, ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Close: true,
		Body: io.NopCloser(&w.body), ContentLength: int64(w.body.Len()),
	}
	return response.Write(conn)
}

// giveUp ends the connection for the sake of others: a request that is not whole fails, and
// a client that has been refused is not waited for any longer.
func (c *trackedConn) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lingering {
		_ = c.Conn.Close() // fails only if it is closed already
		return
	}
	c.givenUp = true
	// SetReadDeadline fails only on a connection that is closed already.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Write writes an answer. http.Server must not answer the part of a header that it has read
// from a client that was refused or given up.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	silent := c.refused || c.givenUp && !c.handled
	c.mu.Unlock()
	if silent {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// RequestAdmitted records that the request in progress is whole and its client known. It
// returns false if the connection was given up before.
func (c *trackedConn) RequestAdmitted() bool { return c.slot.Admit() }

type trackedConnKey struct{}

// connContext is the ConnContext of the http.Server.
func (t *connTracker) connContext(ctx context.Context, conn net.Conn) context.Context {
	ctx = clientconn.WithConn(ctx, conn)
	if c, ok := trackedConnOf(conn); ok {
		ctx = context.WithValue(ctx, trackedConnKey{}, c)
	}
	return ctx
}

// limitHeads returns a handler that refuses requests for whose header there is no memory.
// The header of a request that came together with the one before is first counted here.
func (t *connTracker) limitHeads(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(trackedConnKey{}).(*trackedConn); ok {
			c.beginHandling(r.ContentLength != 0)
		}
		shared := sharedHeadMemory(r)
		if !t.table.HoldRequest(shared) {
			t.refusals.Inc(1)
			w.Header().Set("Connection", "close")
			noHeadMemoryProblem().Write(w)
			return
		}
		defer t.table.ReleaseRequest(shared)
		// http.Server keeps the request while it waits for a client that has been refused.
		defer func() { r.Header, r.Trailer = nil, nil }()
		next.ServeHTTP(w, r)
	})
}

// beginHandling records that a handler has the request of the connection.
func (c *trackedConn) beginHandling(hasBody bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled, c.hasBody = true, hasBody
}

// sharedHeadMemory returns the memory of a request's header in bytes that is shared. Many
// requests of HTTP/2 share what a connection has for itself.
func sharedHeadMemory(r *http.Request) int64 {
	size, lines := len(r.RequestURI), 0
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
		lines += len(values)
	}
	if r.ProtoMajor > 1 {
		return connlimit.Memory(size, lines)
	}
	return connlimit.SharedMemory(size, lines)
}
