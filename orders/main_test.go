package orders

import (
	"os"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
)

func TestMain(m *testing.M) {
	// The first meter starts go-metrics' process-wide ticker. If a test with a fake
	// clock started it, that clock could not advance.
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}
