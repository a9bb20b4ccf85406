package chartcmd

import (
	"bytes"
	"context"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The command must write exactly the page in docs, because the page names it as its source.
func TestMarkdownIsThePage(t *testing.T) {
	page, err := os.ReadFile("../../docs/state-charts.md")
	assert.NilError(t, err)
	assert.Equal(t, run(t, "-format", "markdown"), string(page))
}

// One chart must be selectable, and a wrong format or name must be an error.
func TestSelection(t *testing.T) {
	out := run(t, "attempt")
	assert.Assert(t, strings.Contains(out, "[*] --> opened"), out)
	assert.Assert(t, !strings.Contains(out, "%% request"), out)
	assert.ErrorContains(t, command(&bytes.Buffer{}).ParseAndRun(context.Background(), []string{"-format", "dot"}), "dot")
	assert.ErrorIs(t, command(&bytes.Buffer{}).ParseAndRun(context.Background(), []string{"none"}), os.ErrNotExist)
}

func run(t *testing.T, args ...string) string {
	t.Helper()
	var out bytes.Buffer
	assert.NilError(t, command(&out).ParseAndRun(context.Background(), args))
	return out.String()
}
