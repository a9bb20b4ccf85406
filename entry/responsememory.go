package entry

import "sync/atomic"

const (
	// maxResponseMemory bounds the memory of all buffered responses together. Broken servers
	// that answer many calls without end would otherwise exhaust the process.
	maxResponseMemory = 256 << 20
	// freeResponseBytes is the size up to which a response does not count, so that small
	// ones are not refused for the sake of large ones.
	freeResponseBytes = 256 << 10
)

// responseMemory counts the bytes of buffered responses beyond those that are free.
type responseMemory struct{ used atomic.Int64 }

// grow changes what a response holds, and reports whether there is memory for it.
func (m *responseMemory) grow(from, to int64) bool {
	if m.used.Add(to-from) <= maxResponseMemory {
		return true
	}
	m.used.Add(from - to)
	return false
}

// holdMemory reports whether the call's response may grow to a size.
func (c *unaryCall) holdMemory(size int) bool {
	needed := int64(size - freeResponseBytes)
	if needed <= c.heldMemory {
		return true
	}
	if !c.server.responseMemory.grow(c.heldMemory, needed) {
		return false
	}
	c.heldMemory = needed
	return true
}

// releaseMemory ends the use of the call's response.
func (c *unaryCall) releaseMemory() {
	c.server.responseMemory.grow(c.heldMemory, 0)
	c.heldMemory = 0
}
