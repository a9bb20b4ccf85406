package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// word is a header line of an answer, by which its client recognizes it.
const word = "Leaving"

// saying answers with a stream up to the fifth event, whose header has a line of the server.
// It is silent for a time at a place, and breaks off after the second event if it says so.
func saying(text string, place silentAt, silence time.Duration) script {
	return func(_ *backend, r *http.Request, conn net.Conn) bool {
		pause := func(here silentAt) {
			if here == place {
				time.Sleep(silence)
			}
		}
		head := fmt.Sprintf(streamHeader, r.Header.Get("Id"))
		if text != "" {
			head = head[:len(head)-1] + word + ": " + text + "\n\n"
		}
		pause(beforeHead)
		write(conn, "%s", head)
		pause(afterHead)
		last, _ := strconv.Atoi(r.Header.Get("Last")) // 0 if none is named
		for i := last + 1; i <= 5; i++ {
			writeChunk(conn, event(i))
			if i == 2 && place == forGood {
				return false
			}
			pause(afterEvent)
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

// silentAt is where a server falls silent.
type silentAt string

const (
	nowhere    silentAt = ""
	beforeHead silentAt = "before the head"
	afterHead  silentAt = "after the head"
	afterEvent silentAt = "after an event"
	forGood    silentAt = "for good"
)

// Guards against a client that is told by the header of an answer which it does not get, and
// against a server that is taken for leaving because another one has said so.
func TestClientGetsHeaderOfItsAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		first, second script
		// want is the line that the client gets. Only the servers that said theirs to the
		// entry are known to leave.
		want   string
		marked map[string]bool
	}{
		"first breaks off":           {saying("first", forGood, 0), saying("", nowhere, 0), "first", map[string]bool{"s0": true}},
		"second goes on and says":    {saying("", forGood, 0), saying("second", nowhere, 0), "", map[string]bool{"s1": true}},
		"second is in vain":          {saying("first", beforeHead, enginePause), saying("", beforeHead, time.Minute), "first", map[string]bool{"s0": true}},
		"second is in vain and says": {saying("", beforeHead, enginePause), saying("second", beforeHead, time.Minute), "", nil},
		"first is silent":            {saying("first", beforeHead, time.Minute), saying("", nowhere, 0), "", nil},
		"first says and is silent":   {saying("first", afterHead, time.Minute), saying("", nowhere, 0), "", map[string]bool{"s0": true}},
		"second answers and says":    {saying("", afterHead, time.Minute), saying("second", nowhere, 0), "second", map[string]bool{"s1": true}},
		"second takes over":          {saying("first", afterEvent, time.Minute), saying("", nowhere, 0), "first", map[string]bool{"s0": true}},
		"second takes over and says": {saying("", afterEvent, time.Minute), saying("second", nowhere, 0), "", map[string]bool{"s1": true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newPausingEntry(t, true, newBackend(t, c.first), newBackend(t, c.second))
			response, body, err := e.send(t, http.MethodPost)
			assert.NilError(t, err)
			assert.Equal(t, body, eventsText(5))
			assert.Equal(t, response.Header.Get(word), c.want)
			for _, id := range []string{"s0", "s1"} {
				assert.Equal(t, e.fleet.isLeaving(id), c.marked[id], id)
			}
		})
	}
}
