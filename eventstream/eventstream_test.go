package eventstream

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Events must not be truncated, merged or lost, however the stream is fragmented in
// transit.
func TestEventsAreIndependentOfFragmentation(t *testing.T) {
	stream := "id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\n\nid:3\r\ndata: c\r\n\r\ndata: none\n\nid: 5\ndata: cut"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		var ids []int64
		output := ""
		for rest := []byte(stream); len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			s.Write(rest[:n])
			rest = rest[n:]
			for e, ok := s.Next(); ok; e, ok = s.Next() {
				ids = append(ids, e.ID)
				output += string(e.Bytes)
			}
		}
		assert.DeepEqual(t, ids, []int64{1, 2, 3, -1})
		assert.Equal(t, output, stream[:len(stream)-len("id: 5\ndata: cut")])
		assert.Equal(t, s.Pending(), len("id: 5\ndata: cut"))
	})
}

// Comments keep a connection open; a stream that sends nothing else has stalled.
func TestCommentsAreRecognized(t *testing.T) {
	for text, want := range map[string]bool{
		": ping\n\n": true, ":\r\n: x\r\n\r\n": true, "\n\n": true, ": ping\ndata: a\n\n": false, "id: 1\n\n": false,
	} {
		assert.Equal(t, Event{Bytes: []byte(text)}.IsComment(), want, "%q", text)
	}
}

// FuzzSplitter checks that events do not depend on the fragmentation of a stream
// and that no byte is lost.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n: ping\r\n\r\nid: 2\n"), uint8(1))
	f.Add([]byte("\n\r\n\n\n\r\r\n"), uint8(2))
	f.Add([]byte("data: x\n\r\ndata: y\n\r"), uint8(3))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		whole := split(stream, len(stream))
		parts := split(stream, int(size))
		assert.DeepEqual(t, parts, whole)
		total := 0
		for _, part := range parts {
			total += len(part)
		}
		assert.Equal(t, total, len(stream))
	})
}

// split returns the events of a stream that arrives in fragments of a size, and
// the incomplete rest.
func split(stream []byte, size int) (events []string) {
	var s Splitter
	for rest := stream; len(rest) > 0; {
		n := min(max(size, 1), len(rest))
		s.Write(rest[:n])
		rest = rest[n:]
		for e, ok := s.Next(); ok; e, ok = s.Next() {
			events = append(events, string(e.Bytes))
		}
	}
	return append(events, string(s.pending))
}
