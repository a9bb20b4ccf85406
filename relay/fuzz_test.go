package relay

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sapphirefield/sapphirefield/demand"
	"github.com/sapphirefield/sapphirefield/retry"
)

// byteConn is a connection that carries fixed bytes.
type byteConn struct {
	net.Conn
	rest bytes.Reader
	read int
}

func (c *byteConn) Read(p []byte) (int, error) {
	n, err := c.rest.Read(p)
	c.read += n
	return n, err
}

func (*byteConn) Write(p []byte) (int, error)     { return len(p), nil }
func (*byteConn) Close() error                    { return nil }
func (*byteConn) SetDeadline(time.Time) error     { return nil }
func (*byteConn) SetReadDeadline(time.Time) error { return nil }
func (*byteConn) LocalAddr() net.Addr             { return nil }
func (*byteConn) RemoteAddr() net.Addr            { return nil }
func (c *byteConn) dial() (net.Conn, error)       { return c, nil }
func responseTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: 1\r\nContent-Length: " + "4\r\n\r\n" + body
}

// FuzzReadResponse checks that whatever a server sends, a response is taken only
// with the ID of the request, its header is bounded, and its connection is kept
// only if nothing is left on it.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		responseTo("id-1", "mine"),
		responseTo("other", "late") + responseTo("id-1", "mine"),
		responseTo("id-1", "mine") + responseTo("id-1", "late"),
		responseTo("id-1", "mine") + "x",
		"HTTP/1.1 103 Early Hints\r\n\r\n" + responseTo("id-1", "mine"),
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20) + responseTo("id-1", "mine"),
		"HTTP/1.1 200 OK\r\nId: id-1\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nmine\r\n0\r\nT: v\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nmine!",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n4\r\nmine\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\nId: id-1\n\nuntil the end",
		"HTTP/1.1 101 Switching Protocols\r\nId: id-1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length : 4\r\n\r\nmine",
		"HTTP/1.1 000 X\r\nId: id-1\r\nContent-Length: 40\r\n\r\n" + responseTo("id-1", "mine"),
		"HTTP/1.1 200 OK\r\nId: " + strings.Repeat("x", 2*maxHeaderBytes),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		conn := &byteConn{}
		conn.rest.Reset(data)
		p := newPool(0)
		p.dial = func(context.Context, string) (net.Conn, error) { return conn.dial() }
		x, err := p.send(t.Context(), testCodec{}, "a", &outboundRequest{method: http.MethodGet, target: "/", host: "h", id: "id-1"})
		if err != nil {
			if conn.read > (maxStrayResponses+1)*(maxHeaderBytes+maxStrayBytes+readBufferSize) {
				t.Fatalf("%d bytes were read for %v", conn.read, err)
			}
			return
		}
		for name := range x.response.Header {
			if strings.Contains(name, " ") {
				t.Fatalf("took the field name %q", name)
			}
		}
		if x.info.ID != "id-1" || x.response.StatusCode < http.StatusOK {
			t.Fatalf("took %+v with status %d", x.info, x.response.StatusCode)
		}
		if _, err := io.Copy(io.Discard, x.response.Body); err != nil {
			x.close()
			return
		}
		x.release()
		if len(p.idle["a"]) > 0 && x.conn.reader.Buffered() > 0 {
			t.Fatal("a connection with unread bytes is reused")
		}
	})
}

// FuzzDecodeMessage checks that no datagram makes an entry read beyond it or take
// demand out of bounds.
func FuzzDecodeMessage(f *testing.F) {
	report := demand.Report{1: {{Urgency: 1, Waiting: 800, Started: 1600}, {Urgency: 4, Refused: demand.MaxTokens}}}
	f.Add(message{sender: "a", servers: map[uint64]usage{1: {requests: 1}}}.encode(messageVersion))
	f.Add(message{sender: "a", demand: report}.encode(demandVersion))
	f.Add(appendDemand(message{}.appendState([]byte{messageVersion}), report))
	f.Add(appendDemand(message{}.appendState([]byte{demandVersion}), demand.Report{1: {{Refused: 2 * demand.MaxTokens}}}))
	f.Add(binary.AppendUvarint(message{}.appendState([]byte{demandVersion}), 1<<62))
	f.Add(message{spent: retry.Spending{1: 2}, legacies: []processLegacy{{1, retry.Legacy{Service: 1, Retries: 3, Age: time.Second}}}}.encode(spendingVersion))
	f.Add(binary.AppendUvarint(appendDemand(message{}.appendState([]byte{spendingVersion}), nil), 1<<62))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := decodeMessage(data)
		for _, l := range m.legacies {
			if l.Retries < 0 || l.Retries > maxReportedRetries || l.Age < 0 || l.Age > time.Hour {
				t.Fatalf("took %+v, %v", l, err)
			}
		}
		for _, loads := range m.demand {
			for _, l := range loads {
				if err != nil || min(l.Waiting, l.Started, l.Refused, l.Denied) < 0 || max(l.Waiting, l.Started, l.Refused, l.Denied) > demand.MaxTokens || len(loads) > demand.MaxUrgencies {
					t.Fatalf("took %+v, %v", l, err)
				}
			}
		}
	})
}
