package plans

import (
	"os"
	"testing"

	metrics "github.com/rcrowley/go-metrics"
)

func TestMain(m *testing.M) {
	// The first meter starts the library's ticker for the whole process. If it
	// started inside a synctest bubble, it would keep the fake clock from
	// advancing.
	metrics.NewMeter().Stop()
	os.Exit(m.Run())
}
