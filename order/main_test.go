package order

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed to make the property tests deterministic, and longer
// and more runs than rapid's defaults, because failures that involve several
// processes and plans need them. Command-line flags take precedence, for example
// to try another seed.
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
