package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against documented examples that the daemon would reject.
func TestOperationsExamplesLoad(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	dir := t.TempDir()
	for _, name := range []string{"callers", "operators", "peer"} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name+".pem"), nil, 0o600))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name+".key"), nil, 0o600))
	}
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "peers-ca.pem"), nil, 0o600))
	loaded := map[string]bool{}
	for _, block := range strings.Split(string(page), "```yaml\n")[1:] {
		text, _, _ := strings.Cut(block, "```")
		s, err := Load([]string{"-settings", writeFile(t, strings.ReplaceAll(text, "/keys/", dir+"/"))}, nil)
		assert.NilError(t, err)
		loaded[string(s.Role)+string(s.Backend.Kind)] = true
	}
	assert.DeepEqual(t, loaded, map[string]bool{"entry": true, "sidecarengine": true, "sidecarplain": true})
}
