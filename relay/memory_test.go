package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/eventstream"
)

// maxEntryMemory is the memory that an entry may use while 500 servers send it
// responses without end.
const maxEntryMemory = 150 << 20

// heldServers send the beginning of a response and go on only when released.
type heldServers struct {
	text    string
	arrived sync.WaitGroup
	release chan struct{}
	// requests is the number of connections that carry one. Later ones only find out
	// whether the server still runs.
	requests, dialed atomic.Int64
}

func (s *heldServers) dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	go func() {
		defer remote.Close()
		_, _ = io.WriteString(remote, s.text)
		if s.dialed.Add(1) <= s.requests.Load() {
			s.arrived.Done()
		}
		<-s.release
	}()
	return local, nil
}

// Guards against an entry that runs out of memory while many broken servers send
// headers, events or bodies without end.
func TestMemoryWithManyEndlessResponses(t *testing.T) {
	const connections = 500
	const header = "HTTP/1.1 200 OK\r\nId: id\r\nSigned: 1\r\n"
	for name, test := range map[string]struct {
		route config.Route
		text  string
	}{
		"header": {unaryRoute(config.CallAtMostOnce), header + "A: " + strings.Repeat("x", maxHeaderBytes-100)},
		"fields": {unaryRoute(config.CallAtMostOnce), header + strings.Repeat("A: x\r\n", (maxHeaderBytes-100)/len("A: x\r\n"))},
		"body":   {unaryRoute(config.CallAtMostOnce), header + "\r\n" + strings.Repeat("x", maxBufferedResponse-1)},
		"event":  {streamRoute(false), header + "\r\ndata: " + strings.Repeat("x", eventstream.MaxEventBytes-1)},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry(t, test.route, newBackend(t, reset))
			servers := e.fleet.snapshot()
			s := servers["s0"]
			s.Slots = 2 * connections
			servers["s0"] = s
			runtime.GC()
			held := &heldServers{text: test.text, release: make(chan struct{})}
			e.pool.dial = held.dial
			held.arrived.Add(connections)
			held.requests.Store(connections)
			var requests sync.WaitGroup
			for range connections {
				requests.Go(func() {
					// The handler aborts the connection of a stream that breaks off.
					defer func() { _ = recover() }()
					request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/x", nil)
					request.Host = "h"
					request.Header.Set("Id", "id")
					request.Header.Set("Key", testKey)
					e.ServeHTTP(httptest.NewRecorder(), request)
				})
			}
			held.arrived.Wait()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			used := memory.HeapInuse + memory.StackInuse
			t.Logf("%d MB for %d connections, with the test's ends of them", used>>20, connections)
			assert.Assert(t, used < maxEntryMemory, "%d bytes", used)
			close(held.release)
			requests.Wait()
		})
	}
}
