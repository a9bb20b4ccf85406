package clientconn

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaveTimeout bounds the wait until a request ends that would go on otherwise.
const leaveTimeout = 5 * time.Second

// testServer serves requests that are handed to the test.
type testServer struct {
	*httptest.Server
	begun chan *http.Request
	// finish ends a request with an answer.
	finish chan struct{}
	ended  chan error
}

func newTestServer(t *testing.T, encrypted bool) *testServer {
	s := &testServer{begun: make(chan *http.Request, 10), finish: make(chan struct{}), ended: make(chan error, 10)}
	s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		ctx, cancel := NewContext(r.Context())
		defer cancel()
		s.begun <- r
		select {
		case <-ctx.Done():
		case <-s.finish:
			_, _ = io.WriteString(w, r.URL.Path)
		}
		s.ended <- ctx.Err()
	}))
	s.start(t, encrypted)
	return s
}

func (s *testServer) start(t *testing.T, encrypted bool) {
	s.Listener, s.Config.ConnContext = NewListener(s.Listener), WithConn
	if encrypted {
		s.StartTLS()
	} else {
		s.Start()
	}
	t.Cleanup(s.Close)
}

// dial returns a connection of a client and the socket below it.
func (s *testServer) dial(t *testing.T) (net.Conn, *net.TCPConn) {
	conn, err := net.Dial("tcp4", s.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	socket := conn.(*net.TCPConn)
	if s.TLS == nil {
		return conn, socket
	}
	pool := s.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	secure := tls.Client(conn, &tls.Config{RootCAs: pool, ServerName: "example.com", NextProtos: []string{"http/1.1"}})
	assert.NilError(t, secure.Handshake())
	return secure, socket
}

func send(t *testing.T, conn net.Conn, text string) {
	_, err := io.WriteString(conn, text)
	assert.NilError(t, err)
}

// Guards against a request that goes on after its client has left behind unread bytes of
// its next request, in plain text and over TLS.
func TestRequestEndsWhenClientLeaves(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		for _, unread := range []string{"", "POST /ne", "POST /next HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + string(make([]byte, 20000))} {
			for name, leave := range map[string]func(*net.TCPConn) error{
				"close": (*net.TCPConn).Close,
				"reset": func(c *net.TCPConn) error {
					assert.NilError(t, c.SetLinger(0))
					return c.Close()
				},
				"half-close": (*net.TCPConn).CloseWrite,
			} {
				s := newTestServer(t, encrypted)
				conn, socket := s.dial(t)
				send(t, conn, "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
				<-s.begun
				send(t, conn, unread)
				assert.NilError(t, leave(socket))
				select {
				case err := <-s.ended:
					assert.Assert(t, err != nil)
				case <-time.After(leaveTimeout):
					close(s.finish)
					t.Fatalf("after a %s with %d unread bytes the request goes on (TLS: %v)", name, len(unread), encrypted)
				}
			}
		}
	}
}

// Guards against bytes of the next request that are lost, changed or taken for the end of
// the connection because they arrive while a request is in progress.
func TestNextRequestArrivesDuringRequest(t *testing.T) {
	for _, encrypted := range []bool{false, true} {
		s := newTestServer(t, encrypted)
		conn, _ := s.dial(t)
		reader := bufio.NewReader(conn)
		send(t, conn, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		<-s.begun
		for _, part := range []string{"P", "OST /2 HT", "TP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n"} {
			send(t, conn, part)
		}
		for _, want := range []string{"/1", "/2", "/3"} {
			s.finish <- struct{}{}
			assert.NilError(t, <-s.ended)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), want)
		}
	}
}

// Guards against a part of an answer that looks whole because the connection that ends it is
// closed in order, in plain text and over TLS, by the request or with the process.
func TestUnfinishedAnswerResetsConnection(t *testing.T) {
	const part = "the first part"
	for name, finish := range map[string]func(client net.Conn, end func(whole bool)){
		"whole":     func(_ net.Conn, end func(bool)) { end(true) },
		"not whole": func(_ net.Conn, end func(bool)) { end(false) },
		// The system closes the sockets of a process that has ended.
		"end of the process": func(client net.Conn, _ func(bool)) { _ = client.Close() },
	} {
		for _, encrypted := range []bool{false, true} {
			s := &testServer{}
			s.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				end := ResetUnlessWhole(r.Context())
				_, _ = io.WriteString(w, part)
				_ = http.NewResponseController(w).Flush()
				finish(r.Context().Value(connKey{}).(*socket).Conn, end)
			}))
			s.start(t, encrypted)
			conn, _ := s.dial(t)
			send(t, conn, "GET / HTTP/1.0\r\nHost: h\r\n\r\n")
			answer, err := io.ReadAll(conn)
			assert.Equal(t, err == nil, name == "whole", "%s, TLS: %v: %v", name, encrypted, err)
			assert.Assert(t, err != nil || strings.HasSuffix(string(answer), part))
		}
	}
}
