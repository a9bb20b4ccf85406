package entry

import (
	"os"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
)

func TestMain(m *testing.M) {
	// The first meter starts the library's ticker for the whole process. If a test
	// with a fake clock started it, that clock would not advance.
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}
