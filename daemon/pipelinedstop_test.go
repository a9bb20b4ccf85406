package daemon

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop that leaves a connection open because the empty line that its client
// has sent after a body, which http.Server skips, is taken for the beginning of a request.
func TestStopClosesConnectionWithEmptyLineAfterBody(t *testing.T) {
	s := newPipelineServer()
	conn := s.dial(t, false)
	_, err := io.WriteString(conn, "POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello\r\n")
	assert.NilError(t, err)
	<-s.begun
	s.release <- struct{}{}
	conn.assertAnswer(t, "/phello")
	time.Sleep(50 * time.Millisecond)
	s.closeGracefully()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = conn.answers.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}
