package plans

import (
	"os"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
)

func TestMain(m *testing.M) {
	// The first meter starts the library's ticker for the whole process. Started
	// inside a test on a fake clock, it would keep that clock from moving.
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}
