package transfer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const headerTime, stallTime = 700 * time.Millisecond, 700 * time.Millisecond

// serve returns a client whose connections end at a server that writes a response by itself.
func serve(write func(conn net.Conn)) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		local, remote := net.Pipe()
		go func() {
			// A response before the request belongs to none.
			if _, err := remote.Read(make([]byte, 1)); err != nil {
				return
			}
			go write(remote)
			_, _ = io.Copy(io.Discard, remote)
		}()
		return local, nil
	}}}
}

func call(t *testing.T, client *http.Client, l Limits) (Response, time.Duration, error) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://127.0.0.1:1/", http.NoBody)
	assert.NilError(t, err)
	began := time.Now()
	response, err := Do(client, request, l)
	took := time.Since(began)
	client.CloseIdleConnections()
	time.Sleep(2 * stallTime) // the servers' goroutines notice the end of their connections
	return response, took, err
}

// writeSlowly writes parts of a body with pauses until the connection ends.
func writeSlowly(conn net.Conn, parts int, size int, pause time.Duration) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
	for range parts {
		time.Sleep(pause)
		if _, err := conn.Write(bytes.Repeat([]byte("x"), size)); err != nil {
			return
		}
	}
	_ = conn.Close()
}

// writeBegin writes the begin of a body and nothing more.
func writeBegin(conn net.Conn) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", minProgress))
}

// Guards against a slow response that is cut although it goes on, and against one that
// holds its reader although it has stopped, or sends a byte now and then.
func TestOnlyResponsesWithoutProgressAreCut(t *testing.T) {
	limits := Limits{HeaderTime: headerTime, StallTime: stallTime, MaxBytes: 1 << 20}
	for name, test := range map[string]struct {
		write func(net.Conn)
		want  error
		most  time.Duration
	}{
		"slow":      {func(c net.Conn) { writeSlowly(c, 40, minProgress, stallTime/2) }, nil, time.Minute},
		"stalled":   {writeBegin, ErrStalled, stallTime},
		"dripping":  {func(c net.Conn) { writeSlowly(c, 10_000, 1, stallTime/10) }, ErrStalled, headerTime + stallTime},
		"no header": {func(net.Conn) {}, ErrNoResponse, headerTime},
		"too large": {func(c net.Conn) { writeSlowly(c, 10_000, 1<<10, time.Millisecond) }, ErrTooLarge, time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				response, took, err := call(t, serve(test.write), limits)
				if test.want == nil {
					assert.NilError(t, err)
					assert.Equal(t, len(response.Body), 40*minProgress)
				} else {
					assert.ErrorIs(t, err, test.want)
				}
				assert.Assert(t, took <= test.most, "%v", took)
			})
		})
	}
}

// Guards against an interrupt that throws away a response that is arriving, which would
// have to be read from the beginning.
func TestInterruptSparesResponseThatHasBegun(t *testing.T) {
	for name, begins := range map[string]bool{"begun": true, "not begun": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				interrupt := make(chan struct{})
				client := serve(func(c net.Conn) {
					if begins {
						writeSlowly(c, 10, minProgress, stallTime/2)
					}
				})
				time.AfterFunc(stallTime/4, func() { close(interrupt) })
				_, took, err := call(t, client, Limits{HeaderTime: time.Minute, StallTime: stallTime, MaxBytes: 1 << 20, Interrupt: interrupt})
				if begins {
					assert.NilError(t, err)
					return
				}
				assert.ErrorIs(t, err, ErrInterrupted)
				assert.Equal(t, took, stallTime/4)
			})
		})
	}
}
