package netpeek

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A peek must neither consume bytes nor depend on a deadline that has passed.
func TestPeek(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	client, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	defer client.Close()
	server, err := listener.Accept()
	assert.NilError(t, err)
	defer server.Close()

	assert.Equal(t, Peek(server), Quiet)
	_, err = io.WriteString(client, "x")
	assert.NilError(t, err)
	await(server, HasData)
	assert.NilError(t, server.SetReadDeadline(time.Unix(1, 0)))
	assert.Equal(t, Peek(server), HasData)
	assert.NilError(t, server.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(server, make([]byte, 1))
	assert.NilError(t, err)
	assert.Equal(t, Peek(server), Quiet)
	assert.NilError(t, client.Close())
	await(server, Ended)

	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	assert.Equal(t, Peek(local), Unknown)
}

func await(conn net.Conn, want State) {
	for Peek(conn) != want {
		time.Sleep(time.Millisecond)
	}
}
