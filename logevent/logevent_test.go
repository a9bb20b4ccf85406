package logevent

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an event that is missing in the documented catalogue, in which
// operators look up the number of a log line, or has another message there.
func TestCatalogueMatchesDocs(t *testing.T) {
	page, err := os.ReadFile("../docs/log-events.md")
	assert.NilError(t, err)
	rows := 0
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && strings.Count(line, "|") == 5 {
			rows++
		}
	}
	for _, d := range Definitions() {
		row := Row(d)
		assert.Assert(t, strings.Contains(string(page), row), "docs/log-events.md lacks the row %q", row)
	}
	// The extra row is the table header; the delimiter row below it starts with "|-".
	assert.Equal(t, rows, len(Definitions())+1)
}

// Guards against two events with the same number.
func TestNumbersAreUnique(t *testing.T) {
	seen := map[Event]bool{}
	for _, d := range Definitions() {
		assert.Assert(t, !seen[d.Event], "event "+strconv.Itoa(int(d.Event))+" is defined twice")
		seen[d.Event] = true
	}
}
