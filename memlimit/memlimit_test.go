package memlimit

import (
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

func TestResize(t *testing.T) {
	const limit = 100
	var c Counter
	assert.Assert(t, c.Resize(0, 60, limit))
	assert.Assert(t, !c.Resize(0, 41, limit))
	assert.Assert(t, c.Resize(0, 40, limit))
	assert.Assert(t, c.Resize(60, 10, limit))
	assert.Equal(t, c.Used(), int64(50))
}

// Guards against a holder that cannot give its memory back while others are refused.
func TestMemoryIsGivenBackBesideRefusals(t *testing.T) {
	const limit = 100
	var c Counter
	var holders sync.WaitGroup
	for range 50 {
		holders.Go(func() {
			for range 1000 {
				if c.Resize(0, 30, limit) {
					assert.Check(t, c.Resize(30, 0, limit))
				}
			}
		})
	}
	holders.Wait()
	assert.Equal(t, c.Used(), int64(0))
}
