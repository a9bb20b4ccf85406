package settings

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a panic on any file content: parsing must yield settings or findings.
func FuzzParseFile(f *testing.F) {
	for _, name := range []string{"testdata/entry.yaml", "testdata/broken.yaml"} {
		text, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(string(text))
	}
	f.Add("# only a comment\n")
	f.Add("--- &a\n? [x]\n: *a\n<<: {role: entry}\n")
	f.Fuzz(func(t *testing.T, text string) {
		l := newLoader()
		if err := l.parseFile(strings.NewReader(text), l.flags.Set); err != nil {
			t.Fatal(err)
		}
		// check is not called, because it opens the files that the input names.
		l.convert()
	})
}
