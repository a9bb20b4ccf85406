package local

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/settings"
)

// Guards against written files that the daemon's settings or the configuration
// parser reject, for any number of engines.
func TestFilesAreValid(t *testing.T) {
	for _, engines := range []int{1, 3, maxEngines} {
		o := Options{Engines: engines, PlainServers: 2, Dir: t.TempDir(), AddressPrefix: "127.84.0"}
		assert.NilError(t, o.check())
		assert.NilError(t, o.writeFiles(&bytes.Buffer{}))
		files, err := filepath.Glob(filepath.Join(o.Dir, "*-*.yaml"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), engines+3)
		for _, file := range files {
			_, err := settings.Load([]string{"-settings", file}, nil)
			assert.NilError(t, err)
		}
		text, err := os.ReadFile(filepath.Join(o.Dir, "document.yaml"))
		assert.NilError(t, err)
		doc, findings := config.Parse("document.yaml", text)
		assert.NilError(t, findings.Err())
		assert.NilError(t, doc.Validate().Err())
	}
}

// Guards against stand-ins that are reachable from other machines.
func TestStandinsStayOnLoopback(t *testing.T) {
	err := Run(context.Background(), &bytes.Buffer{}, Options{Engines: 1, Dir: t.TempDir(), AddressPrefix: "10.0.0"})
	assert.ErrorContains(t, err, "not on loopback")
}
