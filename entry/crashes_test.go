package entry

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/problem"
	"github.com/sapphirefield/sapphirefield/quarantine"
	"github.com/sapphirefield/sapphirefield/standin"
	"github.com/sapphirefield/sapphirefield/wire"
)

func newCrashTestServer(ctx context.Context, id string, claims ClaimLog) *Server {
	return New(ctx, Options{
		ID: id, Claims: claims, Config: func() *config.Document { return &config.Document{} },
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
}

func named(content string) func() string { return func() string { return content } }

// Guards against entries that each see too few crashes to block a request, and against a
// block that ends with a restart of all of them.
func TestEntriesShareCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		claims := &standin.MemoryLog{}
		bad, good := quarantine.ContentPart(nil, "team", "bad"), quarantine.ContentPart(nil, "team", "good")
		var servers []*Server
		for _, id := range []string{"a", "b", "c"} {
			servers = append(servers, newCrashTestServer(ctx, id, claims))
		}
		// Entries a and b saw the same end of a server: it counts once.
		for i, number := range []uint64{1, 1, 2} {
			servers[i].crashes.observeFailure("r", "server", "i", wire.ServerEndedReason(number, "EOF"), bad)
		}
		time.Sleep(2 * time.Second)
		assert.Assert(t, servers[0].crashes.check("r", named(bad)) == nil)
		assert.Assert(t, !servers[0].crashes.mayRepeat(named(bad)))
		servers[1].crashes.observeFailure("r", "server", "i", wire.ServerEndedReason(3, "EOF"), bad)
		time.Sleep(2 * time.Second)
		servers = append(servers, newCrashTestServer(ctx, "restarted", claims))
		time.Sleep(2 * time.Second)
		for _, s := range servers {
			p := s.crashes.check("r", named(bad))
			assert.Assert(t, p != nil)
			assert.Equal(t, p.Code, problem.RequestBlocked)
			assert.Equal(t, p.Executed, problem.ExecutedNo)
			assert.Assert(t, p.RetryAfter > 0 && p.RetryAfter <= quarantine.BlockTime)
			assert.Assert(t, s.crashes.check("r", named(good)) == nil)
		}
		time.Sleep(quarantine.BlockTime)
		late := newCrashTestServer(ctx, "late", claims)
		time.Sleep(2 * time.Second)
		assert.Assert(t, late.crashes.check("r", named(bad)) == nil)
	})
}

// Guards against failures of other kinds that count as crashes, and against a sound
// request that stays under suspicion.
func TestOnlyEndsOfServersCount(t *testing.T) {
	s := newCrashTestServer(t.Context(), "a", nil)
	part := quarantine.ContentPart(nil, "team", "path", "body")
	for range 5 {
		for _, reason := range []string{"", "engine does not answer", "backend server ended #x: y", "connection lost"} {
			s.crashes.observeFailure("r", "server", "i", reason, part)
		}
	}
	assert.Assert(t, !s.crashes.active.Load())
	for number := range uint64(2) {
		s.crashes.observeFailure("r", "server", "i", wire.ServerEndedReason(number, "EOF"), part)
	}
	assert.Assert(t, !s.crashes.mayRepeat(named(part)))
	s.crashes.observeAnswered(named(part))
	assert.Assert(t, s.crashes.mayRepeat(named(part)))
	// The parts of a content are kept apart.
	assert.Assert(t, quarantine.ContentPart(nil, "a", "bc") != quarantine.ContentPart(nil, "ab", "c"))
}
