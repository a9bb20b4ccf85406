package entry

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards a large fleet against a model that no entry plans, and against entries
// that all connect to every engine.
func TestFewEntriesPlanLargeModels(t *testing.T) {
	const entries = 400
	for m := range 9 {
		model := fmt.Sprintf("model-%d", m)
		planning := 0
		for i := range entries {
			name := fmt.Sprintf("entry-%03d", i)
			if isPlanner(name, model, entries, false) {
				planning++
				assert.Assert(t, isPlanner(name, model, 1.9*entries, true), "a change in the number of entries moves the planning")
			}
			assert.Assert(t, isPlanner(name, model, plannersPerModel, false), "few entries must all plan")
			assert.Assert(t, !isPlanner(name, model, 0, false), "planning before the number of entries is known")
		}
		assert.Assert(t, planning >= 1 && planning <= 4*plannersPerModel, "%d entries plan %s", planning, model)
	}
}
