package ops

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/burn"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/settings"
)

// Guards against alerts that are not logged, or logged repeatedly, when they start
// or end, and against counts that "sapphirectl report burn" cannot read.
func TestBurnMeter(t *testing.T) {
	var out bytes.Buffer
	logger := &log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: &out}}
	meter := NewBurnRateMonitor("e1", logger)
	objective := config.Objective{Name: "orders", Service: "loja", Measure: config.MeasureAvailability, Target: 0.99}
	meter.SetObjectives([]config.Objective{objective})
	now := time.Unix(1_800_000_000, 0)
	for range 10 {
		meter.Observe(now, burn.Sample{Measure: config.MeasureAvailability, Service: "loja", Failed: true})
		meter.Evaluate(now)
	}
	h, _ := newHandler(t, settings.PasswordHash{})
	h.Mount("GET /burn", meter)
	export, err := burn.Decode(get(h, "/burn", "").Body.Bytes())
	assert.NilError(t, err)
	assert.Equal(t, burn.Merge(now, export).Report(now)[0].Windows[0].Bad, int64(10))
	assert.Equal(t, strings.Count(out.String(), `"event":6001`), len(burn.Rules), out.String())
	assert.Assert(t, strings.Contains(out.String(), `"reason":"the error budget burns 100.0 times too fast over 1h`), out.String())
	meter.SetObjectives(nil)
	meter.Evaluate(now)
	assert.Equal(t, strings.Count(out.String(), `"event":6002`), len(burn.Rules), out.String())
}
