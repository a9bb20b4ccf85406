// Package eventstream splits streams of server-sent events into whole events.
// It performs no I/O.
package eventstream

import (
	"bytes"
	"strconv"
)

// MaxEventBytes bounds one event.
const MaxEventBytes = 1 << 20

// Event is one whole event with its empty line.
type Event struct {
	Bytes []byte
	// ID is the event's number, or -1 when it has none.
	ID int64
}

// Splitter collects bytes and returns whole events. An engine may stop in the
// middle of an event; what is not whole is never returned.
type Splitter struct {
	pending []byte
}

// Write adds bytes. They may be reused afterwards.
func (s *Splitter) Write(p []byte) { s.pending = append(s.pending, p...) }

// Pending is the number of bytes that belong to no whole event yet.
func (s *Splitter) Pending() int { return len(s.pending) }

// Next returns the next whole event. Its bytes are valid until the next Write.
func (s *Splitter) Next() (Event, bool) {
	end := eventEnd(s.pending)
	if end < 0 {
		return Event{}, false
	}
	e := Event{Bytes: s.pending[:end], ID: eventID(s.pending[:end])}
	s.pending = s.pending[end:]
	return e, true
}

// eventEnd returns the length of the first whole event, or -1.
func eventEnd(p []byte) int {
	for at := 0; ; {
		i := bytes.IndexByte(p[at:], '\n')
		if i < 0 {
			return -1
		}
		at += i + 1
		rest := p[at:]
		switch {
		case len(rest) >= 1 && rest[0] == '\n':
			return at + 1
		case len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// eventID returns the number in the last line that begins with id.
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
