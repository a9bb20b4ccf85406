package pipeline

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}
