package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

const unframedCall = "HTTP/1.1 200 OK\nId: %s\nSigned: 1\n\n"

// cutOff sends part of an answer without a length and crashes: its system closes the
// connection without a reset and accepts no other one.
func cutOff(header, part string) script {
	return func(b *backend, r *http.Request, conn net.Conn) bool {
		b.listener.Close()
		return unframed(header, part, false)(b, r, conn)
	}
}

// Guards against a part of an answer that is passed on as the whole one, because its
// server has crashed and the answer states no length.
func TestAnswerOfCrashedServerIsNotWhole(t *testing.T) {
	long := strings.Repeat("x", maxBufferedResponse+1)
	for name, c := range map[string]struct {
		call config.CallKind
		part string
		want string
	}{
		"may not be repeated": {config.CallAtMostOnce, "half", "502"},
		"may be repeated":     {config.CallIdempotent, "half", "whole"},
		"partly passed on":    {config.CallIdempotent, long, "broken off"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, unaryRoute(c.call), newBackend(t, cutOff(unframedCall, c.part)), newBackend(t, respond(200, "whole")))
			e.preferFirst()
			response, body, err := e.send(t, http.MethodPost)
			switch c.want {
			case "whole":
				assert.NilError(t, err)
				assert.Equal(t, body, "whole")
			case "502":
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusBadGateway)
			default:
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
			}
		})
	}
}

// pausesAfterFirst makes connections after the first one wait until a pause is over.
func pausesAfterFirst(dial func(context.Context, string) (net.Conn, error)) func(context.Context, string) (net.Conn, error) {
	var until time.Time
	return func(ctx context.Context, address string) (net.Conn, error) {
		if until.IsZero() {
			until = time.Now().Add(enginePause)
			return dial(ctx, address)
		}
		sleep(ctx, time.Until(until))
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		return dial(ctx, address)
	}
}

// Guards against a whole answer without a length that is broken off because its server,
// which is sound, accepts no connection for a second.
func TestUnframedAnswerIsWholeThoughItsServerPausesAfterwards(t *testing.T) {
	for name, size := range map[string]int{"buffered": 100, "partly passed on": maxBufferedResponse + 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := strings.Repeat("x", size)
			e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, unframed(unframedCall, whole, false)))
			e.pool.dial = pausesAfterFirst(e.pool.dial)
			_, body, err := e.send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Assert(t, body == whole)
		})
	}
}

// Guards against an answer that counts as whole because another process than the one that
// began it accepts connections.
func TestAnswerOfRestartedServerIsNotWhole(t *testing.T) {
	var e *testEntry
	b := newBackend(t, func(b *backend, r *http.Request, conn net.Conn) bool {
		servers := withoutServer(e.fleet.snapshot(), "")
		restarted := servers["s0"]
		restarted.StartTimeMillis = 1
		servers["s0"] = restarted
		e.fleet.setServers(time.Now(), servers)
		return unframed(unframedCall, "half", false)(b, r, conn)
	})
	e = newTestEntry(t, unaryRoute(config.CallAtMostOnce), b)
	response, _, err := e.send(t, http.MethodPost)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}

// Guards against questions to servers whose answers state their end, and against more than
// one connection for another.
func TestOnlyAnswersWithoutLengthCostAConnection(t *testing.T) {
	for name, c := range map[string]struct {
		handle script
		dials  int64
	}{
		"with a length":    {respond(200, "whole"), 1},
		"without a length": {unframed(unframedCall, "whole", false), 2},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, unaryRoute(config.CallAtMostOnce), newBackend(t, c.handle))
			dial, dials := e.pool.dial, atomic.Int64{}
			e.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
				dials.Add(1)
				return dial(ctx, address)
			}
			_, body, err := e.send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, body, "whole")
			assert.Equal(t, dials.Load(), c.dials)
		})
	}
}
