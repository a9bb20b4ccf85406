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
