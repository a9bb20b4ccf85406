package logevent

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The catalogue in the docs must list every event with its message, so that an
// operator who looks up a number from a log line finds it.
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
	// The extra row is the head of the table; the rule below it starts otherwise.
	assert.Equal(t, rows, len(Definitions())+1)
}

// Two events with one number would make the number meaningless.
func TestNumbersAreUnique(t *testing.T) {
	seen := map[Event]bool{}
	for _, d := range Definitions() {
		assert.Assert(t, !seen[d.Event], "event "+strconv.Itoa(int(d.Event))+" is defined twice")
		seen[d.Event] = true
	}
}
