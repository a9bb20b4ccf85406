package passwordcmd

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/settings"
)

// The printed hash must be valid in the settings and match the first line of the
// input without its line ending.
func TestHashMatches(t *testing.T) {
	var out bytes.Buffer
	err := command(strings.NewReader("correct horse battery\r\nnext\n"), &out).ParseAndRun(context.Background(), nil)
	assert.NilError(t, err)
	hash, err := settings.ParsePasswordHash(strings.TrimSpace(out.String()))
	assert.NilError(t, err)
	assert.Assert(t, hash.Matches("correct horse battery"))
}

// A password that is too short must be rejected.
func TestShortPasswordIsRejected(t *testing.T) {
	err := command(strings.NewReader("short\n"), &bytes.Buffer{}).ParseAndRun(context.Background(), nil)
	assert.ErrorContains(t, err, "at least 15 characters")
}
