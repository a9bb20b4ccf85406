package fuzz

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that a failure in CI can be reproduced anywhere.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "100", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
