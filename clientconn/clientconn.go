// Package clientconn tells a server that a client has closed its connection while its
// request is in progress. http.Server ends the request's context then, but it looks in
// another goroutine, which may run only after the handler has acted for a client that had
// left before.
//
// A client that closes only its sending side counts as one that has left, as it does for
// http.Server.
package clientconn

import (
	"context"
	"net"

	"github.com/sapphirefield/sapphirefield/netpeek"
)

type connKey struct{}

type requestKey struct{}

// WithConn is the ConnContext of an http.Server whose requests call NewContext.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	for {
		outer, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return context.WithValue(ctx, connKey{}, conn)
		}
		conn = outer.NetConn()
	}
}

// request is a request in progress.
type request struct {
	conn net.Conn
	end  context.CancelFunc
}

// NewContext returns the context of a request, which ends when its client is found to
// have left or when it is cancelled.
func NewContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	conn, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return ctx, cancel
	}
	r := &request{conn: conn, end: cancel}
	return context.WithValue(ctx, requestKey{}, r), cancel
}

// Check looks whether the client of a request is still there, and ends the request's
// context if it is not. It returns the error of ctx, which may be derived from the
// request's context. Work for a request must not begin without it.
func Check(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if r, ok := ctx.Value(requestKey{}).(*request); ok && netpeek.HungUp(r.conn) {
		r.end()
	}
	return ctx.Err()
}
