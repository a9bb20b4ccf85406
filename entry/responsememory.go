package entry

const (
	// maxResponseMemory bounds the memory of all buffered responses together. Broken servers
	// that answer many calls without end would otherwise exhaust the process.
	maxResponseMemory = 256 << 20
	// freeResponseBytes is the size up to which a response does not count, so that small
	// ones are not refused for the sake of large ones.
	freeResponseBytes = 256 << 10
)

// holdMemory reports whether the call's response may grow to a size.
func (c *unaryCall) holdMemory(size int) bool {
	needed := int64(size - freeResponseBytes)
	if needed <= c.heldMemory {
		return true
	}
	if !c.server.responseMemory.Resize(c.heldMemory, needed, maxResponseMemory) {
		return false
	}
	c.heldMemory = needed
	return true
}

// releaseMemory ends the use of the call's response.
func (c *unaryCall) releaseMemory() {
	c.server.responseMemory.Resize(c.heldMemory, 0, maxResponseMemory)
	c.heldMemory = 0
}
