package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a pause that is taken for another time, or that never ends because a
// broken server asked for it.
func TestParseAfter(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Duration{
		"2": 2 * time.Second, " 0.5 ": 500 * time.Millisecond, "": 0, "-3": 0, "0": 0, "soon": 0, "NaN": 0, "-Inf": 0,
		"1e300": MaxPause, "Inf": MaxPause, "99999999999999999999": MaxPause,
		"Fri, 04 Dec 2026 10:00:07 GMT": 7 * time.Second, "Fri, 04 Dec 2026 09:59:00 GMT": 0, "Fri, 04 Dec 2099 09:59:00 GMT": MaxPause,
	} {
		assert.Equal(t, ParseAfter(now, text), want, text)
	}
}
