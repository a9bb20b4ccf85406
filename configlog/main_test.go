package configlog

import (
	"flag"
	"os"
	"testing"
)

// histories and seed select the random histories; CI runs the defaults.
var (
	histories = flag.Int("histories", 500, "number of random histories")
	seed      = flag.Uint64("history-seed", 20261204, "seed of the random histories")
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}
