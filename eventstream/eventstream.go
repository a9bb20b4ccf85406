// Package eventstream splits a stream of server-sent events (SSE) into complete
// events. It performs no I/O.
package eventstream

import (
	"bytes"
	"strconv"
)

// MaxEventBytes is the size limit of an event. A caller of Splitter must stop
// once more than that is pending, because a broken engine may send an event
// without end.
const MaxEventBytes = 64 << 10

// Event is a complete event including the empty line that ends it.
type Event struct {
	Bytes []byte
	// ID is the event's numeric ID, or -1 if it has none.
	ID int64
}

// Splitter buffers bytes and returns complete events. An engine may fail in the
// middle of an event; incomplete events are never returned.
type Splitter struct {
	pending []byte
	// scanned is the number of pending bytes that are known not to end an event.
	scanned int
}

// Write appends a copy of p to the buffer.
func (s *Splitter) Write(p []byte) { s.pending = append(s.pending, p...) }

// Pending returns the number of buffered bytes that Next has not returned.
func (s *Splitter) Pending() int { return len(s.pending) }

// Next returns the next complete event, or false if there is none. Its bytes are
// valid until the next Write.
func (s *Splitter) Next() (Event, bool) {
	end := eventEnd(s.pending, s.scanned)
	if end < 0 {
		s.scanned = max(len(s.pending)-maxEventEnd, 0)
		return Event{}, false
	}
	s.scanned = 0
	e := Event{Bytes: s.pending[:end], ID: eventID(s.pending[:end])}
	s.pending = s.pending[end:]
	return e, true
}

// maxEventEnd is the length of the longest sequence that ends an event, "\n\r\n".
const maxEventEnd = 3

// eventEnd returns the length of the first complete event, or -1 if there is
// none. No event ends in the first from bytes.
func eventEnd(p []byte, from int) int {
	for offset := from; ; {
		i := bytes.IndexByte(p[offset:], '\n')
		if i < 0 {
			return -1
		}
		offset += i + 1
		rest := p[offset:]
		switch {
		case len(rest) >= 1 && rest[0] == '\n':
			return offset + 1
		case len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n':
			return offset + 2
		}
	}
}

// IsComment reports whether the event has only comments and empty lines. Servers
// send such events to keep a connection open.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(e.Bytes) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventID returns the number in the last id field that holds one, or -1.
func eventID(event []byte) int64 {
	id := int64(-1)
	for line := range bytes.Lines(event) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		if n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			id = n
		}
	}
	return id
}
