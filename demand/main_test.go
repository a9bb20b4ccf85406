package demand

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that CI failures are reproducible.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
