package chart

import (
	"io/fs"
	"testing"

	"gotest.tools/v3/assert"
)

// Any input must give either a chart or an error, and never a panic.
func FuzzParse(f *testing.F) {
	names, err := Names(Files())
	assert.NilError(f, err)
	for _, name := range names {
		text, err := fs.ReadFile(Files(), name+extension)
		assert.NilError(f, err)
		f.Add(text)
	}
	f.Add([]byte("name: x\ninitial: [\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := parse("x.yaml", "x", text)
		if (c == nil) != (err != nil) {
			t.Fatalf("chart %v, error %v", c, err)
		}
		if c != nil {
			c.Markdown()
		}
	})
}
