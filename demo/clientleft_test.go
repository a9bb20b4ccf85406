package demo

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/sapphirefield/sapphirefield/clientconn"
)

// gatedListener accepts no connection until it is opened, as an entry that is paused, or
// has too little of a core.
type gatedListener struct {
	net.Listener
	open     chan struct{}
	accepted atomic.Int32
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.open
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

// serveBehindGate serves the cluster's entry on another listener, which accepts nothing
// yet. The returned counter is that of the requests that have ended.
func (c *Cluster) serveBehindGate(t *testing.T) (gate *gatedListener, ended *atomic.Int32) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	gate, ended = &gatedListener{Listener: inner, open: make(chan struct{})}, new(atomic.Int32)
	handler := c.Entry.Handler()
	server := &http.Server{ConnContext: clientconn.WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer ended.Add(1)
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(clientconn.NewListener(gate)) }()
	t.Cleanup(func() { _ = server.Close() })
	return gate, ended
}

// Guards against requests that are sent to a server although their clients left before
// the entry read them.
func TestRequestOfClientThatLeftIsNotSent(t *testing.T) {
	const clients = 20
	requests := map[string]struct{ path, body string }{
		"booking":        {bookingPath, `{"reference":"left-%d"}`},
		"language model": {"/v1/completions", `{"model":"` + Model + `","prompt":"left %d","max_tokens":20,"stream":true}`},
	}
	for kind, request := range requests {
		for _, cores := range []int{1, runtime.NumCPU()} {
			t.Run(fmt.Sprintf("%s/%d cores", kind, cores), func(t *testing.T) {
				cluster, err := Start(t.Context(), ClusterOptions{Stages: 2, Replicas: 1, PlainServers: 2, StepTime: time.Millisecond})
				assert.NilError(t, err)
				t.Cleanup(cluster.Stop)
				gate, ended := cluster.serveBehindGate(t)
				ran := cluster.layerExecutions()
				for i := range clients {
					leaveWithRequest(t, gate.Addr().String(), request.path, fmt.Sprintf(request.body, i))
				}
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
				close(gate.open)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if accepted, done := gate.accepted.Load(), ended.Load(); accepted < clients || done < clients {
						return poll.Continue("%d connections were accepted, %d requests have ended", accepted, done)
					}
					return poll.Success()
				}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
				// What was passed on would have begun by then.
				time.Sleep(100 * time.Millisecond)
				booked := 0
				for i := range clients {
					booked += cluster.executions(fmt.Sprintf("left-%d", i))
				}
				assert.Equal(t, booked, 0, "of %d bookings whose clients had left, some were run", clients)
				assert.Equal(t, cluster.layerExecutions(), ran, "layers were run for clients that had left")
			})
		}
	}
}

// leaveWithRequest sends a request and leaves.
func leaveWithRequest(t *testing.T, address, path, body string) {
	conn, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, Key, len(body), body)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
}
