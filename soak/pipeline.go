package soak

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// One client in pipelineEvery sends up to maxPipelined requests at once on a channel,
	// before it has read their answers.
	pipelineEvery = 4
	maxPipelined  = 3
	// closeCheckTime is how long a client looks whether its kept channel has been closed.
	closeCheckTime = time.Millisecond
)

// channel is a client's connection to an entry, kept until it ends.
type channel struct {
	net.Conn
	reader *bufio.Reader
	// answered is set once the entry has answered on it.
	answered bool
}

// sendPipelined sends some requests at once and reads their answers, and reports whether
// the channel can be kept.
func (c *loadClient) sendPipelined(ctx context.Context, entryIndex int) bool {
	e := c.entries[entryIndex]
	processNumber := e.processNumber()
	var requests []platformtest.ClientRequest
	var buffer bytes.Buffer
	for range 1 + c.random.IntN(maxPipelined) {
		clientRequest := c.randomRequest(e)
		requests = append(requests, clientRequest)
		request, err := clientRequest.HTTPRequest(ctx, "http://"+e.clientProxy.address())
		if err != nil || request.Write(&buffer) != nil {
			panic("the request cannot be written")
		}
	}
	if !c.openChannel(e) {
		return false
	}
	sentAt := time.Now()
	_ = c.channel.SetDeadline(sentAt.Add(requestTimeout + time.Second)) // fails only on a closed connection
	_, err := c.channel.Write(buffer.Bytes())
	view := clientView{sentAt: sentAt, alone: true}
	if err == nil {
		view.lastByteAt = time.Now()
	}
	for _, request := range requests {
		view.keptChannel = c.channel.answered
		view = c.readAnswer(ctx, request, e, processNumber, view)
	}
	if view.channelOver {
		c.channel.Close()
		c.channel = nil
		return false
	}
	return true
}

// isOpen reports whether the entry has not closed the channel yet.
func (c *channel) isOpen() bool {
	_ = c.SetReadDeadline(time.Now().Add(closeCheckTime)) // the read fails too
	_, err := c.reader.Peek(1)
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// openChannel opens a channel unless there is one, and reports whether there is one.
func (c *loadClient) openChannel(e *entry) bool {
	if c.channel != nil && c.channel.isOpen() {
		return true
	}
	if c.channel != nil {
		c.channel.Close()
		c.channel = nil
	}
	conn, err := net.Dial("tcp4", e.clientProxy.address())
	if err != nil {
		return false
	}
	c.channel = &channel{Conn: conn, reader: bufio.NewReader(conn)}
	return true
}

// readAnswer reads the answer to a request that has been sent and judges it. After an
// answer that is missing, broken off or announces the channel's end, no other one follows.
func (c *loadClient) readAnswer(ctx context.Context, request platformtest.ClientRequest, e *entry, processNumber int, view clientView) clientView {
	view.status, view.complete, view.fromServer = 0, false, false
	var response *http.Response
	var body []byte
	var err error
	if !view.channelOver {
		response, err = http.ReadResponse(c.channel.reader, &http.Request{Method: request.Method})
	}
	if response != nil {
		body, err = io.ReadAll(response.Body)
		c.channel.answered = true
		view.status, view.complete, view.fromServer = response.StatusCode, err == nil, platformtest.IsResponseTo(response.Header, request.ID)
	}
	c.checkEnd(ctx, request, e, processNumber, view, response, string(body), err)
	view.alone = false
	view.channelOver = view.channelOver || !view.complete || response.Close
	return view
}
