package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// timedInput is an input of a session with its time in seconds after the start.
type timedInput struct {
	at    float64
	input Input
}

func runSession(t *testing.T, checksFencing bool, session []timedInput) string {
	t.Helper()
	start := time.Unix(1e9, 0)
	r, err := New(Config{Fencing: checksFencing, MaxOrderDelay: 10 * time.Second, PauseLimit: 5 * time.Second,
		ReadBackoff: time.Second, CheckInterval: 4 * time.Second}, start)
	assert.NilError(t, err)
	var b strings.Builder
	for _, step := range session {
		now := start.Add(time.Duration(step.at * float64(time.Second)))
		if current, ok := step.input.(PlanConfirmed); ok && current.AsOf.IsZero() {
			step.input = PlanConfirmed{AsOf: now}
		}
		actions := r.Step(now, step.input)
		fmt.Fprintf(&b, "%5.1fs %-13T -> %s", step.at, step.input, r.State())
		for _, action := range actions {
			fmt.Fprintf(&b, ", %T %+v", action, action)
		}
		if r.Converged() {
			b.WriteString(", converged")
		}
		if wake := r.NextTick(); !wake.IsZero() {
			fmt.Fprintf(&b, ", wake at %.1fs", wake.Sub(start).Seconds())
		}
		b.WriteString("\n")
	}
	return b.String()
}

func stateWithVersion(name string) State {
	return State{Model: "safira", Version: name, Adapters: []string{"b", "a"}, Layers: LayerRange{0, 16}, Role: "decode"}
}

func planInput(offset int64, name string) PlanReceived {
	return PlanReceived{Plan{offset, stateWithVersion(name)}}
}

// stateWithReorderedAdapters is the state of stateWithVersion with its adapters in
// another order, a difference that must not cause an order.
func stateWithReorderedAdapters(name string) State {
	s := stateWithVersion(name)
	s.Adapters = []string{"a", "b"}
	return s
}

// Pins the complete sequence of reads and orders, so that it does not change by accident.
func TestSessionWithFencing(t *testing.T) {
	golden.Assert(t, runSession(t, true, []timedInput{
		{0, planInput(7, "v2")},
		{0.5, PlanConfirmed{}},
		{0.6, ReadDone{1, Observed{State: stateWithVersion("v1"), Fence: 3}}},
		{1, OrderUnconfirmed{2}},
		{1.1, ReadDone{3, Observed{State: stateWithVersion("v1"), Fence: 3}}},
		{1.2, OrderAccepted{4}},
		{1.3, ReadDone{5, Observed{State: stateWithVersion("v1"), Busy: true, Target: stateWithVersion("v2"), Fence: 7}}},
		{2, Tick{}},
		{2.3, Tick{}},
		{2.4, ReadDone{6, Observed{State: stateWithReorderedAdapters("v2"), Fence: 7}}},
		{6.4, Tick{}},
		{6.5, ReadFailed{7}},
		{7.5, Tick{}},
		{7.6, ReadDone{8, Observed{State: stateWithVersion("v3"), Fence: 9}}},
		{8, planInput(9, "v3")},
		{8.1, ReadDone{9, Observed{State: stateWithVersion("v3"), Fence: 9}}},
		{8.2, planInput(8, "v1")},
		{9, planInput(11, "v3")},
		// The state is the wanted one, but a delayed order of plan 10 could still change it.
		{9.1, ReadDone{10, Observed{State: stateWithVersion("v3"), Fence: 9}}},
		{9.2, OrderFenced{11}},
		{9.3, planInput(12, "v3")},
		{9.4, ReadDone{12, Observed{State: stateWithVersion("v3"), Fence: 12}}},
	}), "fencing.golden")
}

// An engine that ignores fencing must receive no order until earlier ones can no
// longer take effect, and must be read after that before it counts as converged.
func TestSessionWithoutFencing(t *testing.T) {
	golden.Assert(t, runSession(t, false, []timedInput{
		{0, planInput(7, "v2")},
		{0.5, PlanConfirmed{}},
		{0.6, ReadDone{1, Observed{State: stateWithVersion("v1")}}},
		{5, Tick{}},
		{9, Tick{}},
		{10, Tick{}},
		{10.1, ReadDone{2, Observed{State: stateWithVersion("v1")}}},
		{10.2, planInput(8, "v3")},
		{10.3, OrderAccepted{3}},
		{10.4, ReadDone{4, Observed{State: stateWithVersion("v2")}}},
		{15, Tick{}},
		{20, Tick{}},
		{20.3, Tick{}},
		{20.4, ReadDone{5, Observed{State: stateWithVersion("v2")}}},
		{20.5, OrderRejected{6}},
		{21.5, Tick{}},
		{21.6, ReadDone{7, Observed{State: stateWithVersion("v2")}}},
		{22, OrderAccepted{8}},
		{26, Tick{}},
		{31, Tick{}},
		{31.9, Tick{}},
		// This read was requested before 32 s, so an order may have taken effect after it.
		{32.1, ReadDone{9, Observed{State: stateWithVersion("v3")}}},
		{32.2, ReadDone{10, Observed{State: stateWithVersion("v3")}}},
		{37.3, Tick{}},
		{37.4, PlanConfirmed{AsOf: time.Unix(1e9+37, 0)}},
		{37.5, PlanConfirmed{}},
		{37.6, ReadDone{10, Observed{State: stateWithVersion("v1")}}},
		{37.7, ReadDone{11, Observed{State: stateWithVersion("v3")}}},
	}), "without_fencing.golden")
}
