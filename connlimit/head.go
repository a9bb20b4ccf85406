package connlimit

const (
	// lineMemory is the memory of a header line beyond its bytes, and byteFactor that of
	// a byte: while it is parsed, kept and copied for a server.
	lineMemory = 256
	byteFactor = 4
	// ordinaryMemory is what each header has for itself. A header of thirty lines and two
	// kilobytes needs no more.
	ordinaryMemory = 16 << 10
	// shortestLine is the length of the shortest header line: "a:" and a line feed.
	shortestLine = 3
)

// SharedMemory returns the memory in bytes that a header of a size takes from what all share.
func SharedMemory(bytes, lines int) int64 {
	return max(0, Memory(bytes, lines)-ordinaryMemory)
}

// Memory returns the memory in bytes that a header takes in all.
func Memory(bytes, lines int) int64 { return int64(byteFactor*bytes + lineMemory*lines) }

// Head measures the header of a request while it arrives. Its zero value has seen nothing.
type Head struct {
	bytes, lines int
	// inLine is set within a line that has characters other than a carriage return.
	inLine bool
	// ended is set once the empty line has been seen that ends the header.
	ended bool
}

// Add adds bytes of a request. What follows the header is left out.
func (h *Head) Add(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.bytes++
		switch {
		case b == '\r':
		case b != '\n':
			h.inLine = true
		case h.inLine:
			h.inLine = false
			h.lines++
		default:
			// Empty lines before the request line are no end.
			h.ended = h.lines > 0
		}
	}
}

// AddUnseen adds bytes whose lines cannot be seen. They may be as short as lines can be.
func (h *Head) AddUnseen(n int) {
	h.bytes += n
	h.lines += n / shortestLine
	h.inLine = true
}

// Size returns the number of bytes so far.
func (h *Head) Size() int { return h.bytes }

// SharedMemory returns the memory in bytes that the header takes from what all share.
func (h *Head) SharedMemory() int64 { return SharedMemory(h.bytes, h.lines) }
