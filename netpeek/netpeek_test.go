package netpeek

import (
	"io"
	"net"
	"syscall"
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

// A hang-up must be seen behind unread bytes, which a read would find first.
func TestHungUp(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	for name, leave := range map[string]func(*net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half-close": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error {
			assert.NilError(t, c.SetLinger(0))
			return c.Close()
		},
	} {
		for _, unread := range []string{"", "x"} {
			client, err := net.Dial("tcp4", listener.Addr().String())
			assert.NilError(t, err)
			defer client.Close()
			server, err := listener.Accept()
			assert.NilError(t, err)
			defer server.Close()
			_, err = io.WriteString(client, unread)
			assert.NilError(t, err)
			assert.Assert(t, !HungUp(server), name)
			assert.NilError(t, leave(client.(*net.TCPConn)))
			for !HungUp(server) {
				time.Sleep(time.Millisecond)
			}
			if unread != "" && name != "reset" {
				assert.Equal(t, Peek(server), HasData, name)
			}
		}
	}
}

func await(conn net.Conn, want State) {
	for Peek(conn) != want {
		time.Sleep(time.Millisecond)
	}
}

// A look must leave the error of a reset to the read that follows, which would find the end
// of the connection in its place.
func TestPeekLeavesErrorOfReset(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	for _, unread := range []string{"", "x"} {
		client, err := net.Dial("tcp4", listener.Addr().String())
		assert.NilError(t, err)
		server, err := listener.Accept()
		assert.NilError(t, err)
		defer server.Close()
		_, err = io.WriteString(client, unread)
		assert.NilError(t, err)
		assert.NilError(t, client.(*net.TCPConn).SetLinger(0))
		assert.NilError(t, client.Close())
		await(server, Ended)
		assert.Assert(t, HungUp(server))
		assert.Equal(t, Peek(server), Ended)
		read, err := io.ReadAll(server)
		assert.Equal(t, string(read), unread)
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
}
