package logevent

import (
	"os"
	"strings"
	"testing"
)

// TestWriteCatalogue rewrites docs/log-events.md when UPDATE_DOCS is set.
func TestWriteCatalogue(t *testing.T) {
	if os.Getenv("UPDATE_DOCS") == "" {
		t.Skip("set UPDATE_DOCS=1 to rewrite docs/log-events.md")
	}
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line is one JSON object whose member `event` holds a number from this table. A number never changes its\nmeaning. Numbers are grouped: 1xxx process, 2xxx entry, 3xxx sidecar, 4xxx configuration and log service, 5xxx orders\nto engines, 6xxx service levels.\n\nThe table is written by `UPDATE_DOCS=1 go test ./logevent -run TestWriteCatalogue`, and a test compares it with the code.\n\n")
	b.WriteString("| event | level | message | what to do |\n|---|---|---|---|\n")
	for _, d := range Definitions() {
		b.WriteString(Row(d) + "\n")
	}
	if err := os.WriteFile("../docs/log-events.md", []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}
