package order

import (
	"flag"
	"os"
	"testing"
)

// A fixed seed gives one verdict for one program. Faults that take several
// processes and plans need longer and more runs than the library's defaults.
// Flags of the command line win, so that a seed can be tried by hand.
func TestMain(m *testing.M) {
	defaults := map[string]string{
		"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.steps": "100", "rapid.checks": "1000",
	}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
