package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against changed exit codes, on which scripts depend. An invalid flag must
// not have the exit code of findings in a document.
func TestExitCodes(t *testing.T) {
	example := "../../config/examples/orderbook.yaml"
	broken := filepath.Join(t.TempDir(), "broken.yaml")
	assert.NilError(t, os.WriteFile(broken, []byte("schema: 1\nteams:\n  - {name: a, weight: -1}\n"), 0o600))
	cases := []struct {
		args       string
		code       int
		wantOutput string
	}{
		{"config check " + example, 0, "ok"},
		{"config check " + broken, 1, "broken.yaml:3:"},
		{"config check", 2, "name at least one file"},
		{"config check -unknown " + example, 2, "unknown"},
		{"config check missing.yaml", 2, "missing.yaml"},
		{"config publish -log http://127.0.0.1:1 " + example, 4, "127.0.0.1:1"},
		{"nothing", 2, ""},
		{"", 2, ""},
	}
	for _, test := range cases {
		var out bytes.Buffer
		code := run(strings.Fields(test.args), &out, &out)
		assert.Equal(t, code, test.code, "%s: %s", test.args, out.String())
		assert.Assert(t, strings.Contains(out.String(), test.wantOutput), "%s: %s", test.args, out.String())
	}
}
