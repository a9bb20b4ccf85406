package relay

import (
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/memlimit"
)

const (
	// maxBodyMemory bounds the memory of all request bodies together. Many callers
	// that send large bodies slowly would otherwise exhaust the process.
	maxBodyMemory = 48 << 20
	// minBodyBuffer is the capacity with which a body's buffer begins.
	minBodyBuffer = 1 << 10
	// noBodyMemoryRetryAfter is the Retry-After time while there is no memory for
	// another body: a few times what a body takes to arrive.
	noBodyMemoryRetryAfter = 500 * time.Millisecond
)

var errNoBodyMemory = errors.New("too many request bodies are in memory")

// bodyMemory counts the memory of request bodies, by the capacity of their
// buffers.
type bodyMemory struct{ memlimit.Counter }

// read reads a body. The returned buffer counts until it is released, also when
// there is an error.
func (m *bodyMemory) read(r io.Reader) (body []byte, err error) {
	for {
		if len(body) == cap(body) {
			if body, err = m.grow(body); err != nil {
				return body, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// grow returns a copy of a body with twice the capacity.
func (m *bodyMemory) grow(body []byte) ([]byte, error) {
	size := max(2*cap(body), minBodyBuffer)
	// Both buffers exist during the copy.
	if !m.Resize(0, int64(size), maxBodyMemory) {
		return body, errNoBodyMemory
	}
	grown := append(make([]byte, 0, size), body...)
	m.release(body)
	return grown, nil
}

// release ends the use of a body.
func (m *bodyMemory) release(body []byte) { m.Resize(int64(cap(body)), 0, maxBodyMemory) }
