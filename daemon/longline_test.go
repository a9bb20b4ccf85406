package daemon

import (
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that is never read because one byte of http.Server's buffer is
// free when a part of a long line has arrived: its read looks like the one for hang-ups.
func TestLongLineThatArrivesInPartsIsRead(t *testing.T) {
	const bufferSize, start, end = 4096, "GET /g HTTP/1.1\r\nHost: h\r\nCookie: ", "\r\n\r\n"
	for _, encrypted := range []bool{false, true} {
		s := newPipelineServer()
		conn := s.dial(t, encrypted)
		// The line begins at the start of the buffer once http.Server has read the ones before it.
		first := start + strings.Repeat("a", bufferSize-len(start))
		fragment := bufferSize - strings.Index(start, "Cookie")
		for _, part := range []string{first, strings.Repeat("b", bufferSize-fragment-1), strings.Repeat("c", 100) + end} {
			_, err := io.WriteString(conn, part)
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond) // until it has been read
		}
		select {
		case <-s.begun:
			s.release <- struct{}{}
		case <-time.After(5 * time.Second):
			t.Fatalf("the request is not read, TLS %v", encrypted)
		}
		conn.assertAnswer(t, "/g")
	}
}
