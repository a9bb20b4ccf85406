package burn

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless flags set it, so that
// their results are reproducible.
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
