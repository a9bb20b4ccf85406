package configlog

import (
	"flag"
	"os"
	"testing"
)

// histories and seed choose the fuzzed histories; CI runs the defaults.
var (
	histories = flag.Int("histories", 500, "number of fuzzed histories")
	seed      = flag.Uint64("history-seed", 20261204, "seed of the fuzzed histories")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
