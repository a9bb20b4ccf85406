package memlimit

import (
	"io"

	"github.com/pkg/errors"
)

const (
	// maxBodies bounds the memory in bytes of all request bodies together, on machines that
	// have enough. Many clients that send large bodies slowly would otherwise exhaust the
	// process.
	maxBodies = 48 << 20
	// minBodyBuffer is the capacity with which a body's buffer begins, and
	// bodyBufferGrowth the factor by which it grows.
	minBodyBuffer    = 1 << 10
	bodyBufferGrowth = 4
	// smallBody is the size up to which a body may use all of the memory. Larger ones leave
	// 1/smallBodyDivisor of it, so that ordinary requests pass while large bodies stall.
	smallBody        = 64 << 10
	smallBodyDivisor = 4
)

// ErrNoBodyMemory means that there is no memory for another body at the moment.
var ErrNoBodyMemory = errors.New("too many request bodies are in memory")

// Bodies counts the memory of request bodies, by the capacity of their
// buffers.
type Bodies struct {
	Counter
	limit int64
}

// NewBodies returns the memory for bodies on a machine that has the given number of
// bytes for them, or 0 if it is not known.
func NewBodies(machine int64) *Bodies {
	if machine <= 0 || machine > maxBodies {
		machine = maxBodies
	}
	return &Bodies{limit: machine}
}

// BodySize is what is known of the size of a body before it has come.
type BodySize struct {
	// Stated is the length that the client states, or negative.
	Stated int64
	// Most is the largest size that is allowed, or 0 if there is no limit.
	Most int64
}

// Read reads a body. The returned buffer counts until it is released, also when there is an
// error. A body that cannot fit is not begun: what had been read of it would be garbage.
func (m *Bodies) Read(r io.Reader, size BodySize) (body []byte, err error) {
	if size.Most > 0 && size.Stated > size.Most {
		size.Stated = -1 // it will be cut off, so it gets no room for what it states
	}
	if size.Stated > 0 && m.Used()+size.Stated > m.limitFor(size.Stated, 0, size.Most) {
		return nil, ErrNoBodyMemory
	}
	for {
		if len(body) == cap(body) {
			if body, err = m.grow(body, size); err != nil {
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

// nextCapacity returns the capacity of the buffer after one that is full. It is that of the
// whole body once enough has come to believe the client: buffers that are outgrown are
// garbage, which adds up when many bodies arrive at once.
func (s BodySize) nextCapacity(capacity int64) int64 {
	next := max(bodyBufferGrowth*capacity, minBodyBuffer)
	if s.Stated > capacity && (capacity >= smallBody || next > s.Stated) {
		return s.Stated
	}
	if s.Most > 0 && next >= s.Most {
		return s.Most + 1 // one more byte shows that the body is too large
	}
	return next
}

// grow returns a copy of a body with the next capacity.
func (m *Bodies) grow(body []byte, size BodySize) ([]byte, error) {
	capacity := int64(cap(body))
	next := size.nextCapacity(capacity)
	// Both buffers exist during the copy.
	if !m.Resize(0, next, m.limitFor(next, capacity, size.Most)) {
		return body, ErrNoBodyMemory
	}
	grown := append(make([]byte, 0, next), body...)
	m.Release(body)
	return grown, nil
}

// limitFor returns how much memory bodies may have when a buffer of a size is added for a body
// that has another one already. Where the size of bodies is limited to most bytes, one that
// is alone with small ones always fits, however small the machine is: otherwise it would
// never be served.
func (m *Bodies) limitFor(size, held, most int64) int64 {
	if size <= smallBody {
		return m.limit
	}
	limit := m.limit - m.limit/smallBodyDivisor
	if most > 0 {
		limit = max(limit, held+size+smallBody)
	}
	return limit
}

// Release ends the use of a body.
func (m *Bodies) Release(body []byte) { m.Resize(int64(cap(body)), 0, m.limit) }
