package relay

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
)

// slowDeadlineListener accepts connections whose first read deadline in the past takes time
// to come into force, as if its goroutine got no processor.
type slowDeadlineListener struct {
	net.Listener
	begun, goOn chan struct{}
	late        atomic.Bool
}

func (l *slowDeadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &slowDeadlineConn{conn, l}, err
}

type slowDeadlineConn struct {
	net.Conn
	listener *slowDeadlineListener
}

func (c *slowDeadlineConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) && c.listener.late.CompareAndSwap(false, true) {
		close(c.listener.begun)
		<-c.listener.goOn
	}
	return c.Conn.SetReadDeadline(t)
}

// Guards against a request that fails because the end of the time for the body of the one
// before it on its connection comes into force late.
func TestLateEndOfBodyLeavesNextRequest(t *testing.T) {
	route := unaryRoute(config.CallAtMostOnce)
	route.Timeout = 200 * time.Millisecond
	e := newTestEntry(t, route, newBackend(t, respond(http.StatusOK, "ok")))
	l := &slowDeadlineListener{begun: make(chan struct{}), goOn: make(chan struct{})}
	var err error
	l.Listener, err = net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	serveClients(t, e.Entry, l)
	conn, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testLimit)))
	answers := bufio.NewReader(conn)
	sendText(t, conn, clientRequest("a", "Content-Length: 4\r\n")+"bo")
	<-l.begun
	sendText(t, conn, "dy")
	first, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	assert.NilError(t, first.Body.Close())
	if first.Close {
		close(l.goOn)
		return // no other request follows on the connection
	}
	sendText(t, conn, clientRequest("b", "Content-Length: 4\r\n")+"bo")
	time.Sleep(20 * time.Millisecond) // until its body is read
	close(l.goOn)
	time.Sleep(20 * time.Millisecond)
	sendText(t, conn, "dy")
	second, err := http.ReadResponse(answers, nil)
	assert.NilError(t, err)
	assert.Equal(t, second.StatusCode, http.StatusOK)
}
