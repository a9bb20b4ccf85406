package order

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// moment is one input of a session at a number of seconds after the start.
type moment struct {
	at    float64
	input Input
}

func play(t *testing.T, checks bool, session []moment) string {
	t.Helper()
	start := time.Unix(1e9, 0)
	m, err := New(Config{Fencing: checks, MaxOrderDelay: 10 * time.Second, PauseLimit: 5 * time.Second,
		ReadBackoff: time.Second, CheckInterval: 4 * time.Second}, start)
	assert.NilError(t, err)
	var b strings.Builder
	for _, step := range session {
		now := start.Add(time.Duration(step.at * float64(time.Second)))
		if current, ok := step.input.(PlanConfirmed); ok && current.AsOf.IsZero() {
			step.input = PlanConfirmed{AsOf: now}
		}
		actions := m.Step(now, step.input)
		fmt.Fprintf(&b, "%5.1fs %-13T -> %s", step.at, step.input, m.State())
		for _, action := range actions {
			fmt.Fprintf(&b, ", %T %+v", action, action)
		}
		if m.Converged() {
			b.WriteString(", stands")
		}
		if wake := m.NextTick(); !wake.IsZero() {
			fmt.Fprintf(&b, ", wake at %.1fs", wake.Sub(start).Seconds())
		}
		b.WriteString("\n")
	}
	return b.String()
}

func version(name string) State {
	return State{Model: "safira", Version: name, Adapters: []string{"b", "a"}, Layers: LayerRange{0, 16}, Role: "decode"}
}

func plan(offset int64, name string) PlanReceived { return PlanReceived{Plan{offset, version(name)}} }

// same is the state with its adapters in another order, which must not cause an order.
func same(name string) State {
	s := version(name)
	s.Adapters = []string{"a", "b"}
	return s
}

// The whole session shows when the engine is read and ordered; a change of the
// sequence must be a decision and not an accident.
func TestSessionWithFencing(t *testing.T) {
	golden.Assert(t, play(t, true, []moment{
		{0, plan(7, "v2")},
		{0.5, PlanConfirmed{}},
		{0.6, ReadDone{1, Observed{State: version("v1"), Fence: 3}}},
		{1, OrderUnconfirmed{2}},
		{1.1, ReadDone{3, Observed{State: version("v1"), Fence: 3}}},
		{1.2, OrderAccepted{4}},
		{1.3, ReadDone{5, Observed{State: version("v1"), Busy: true, Target: version("v2"), Fence: 7}}},
		{2, Tick{}},
		{2.3, Tick{}},
		{2.4, ReadDone{6, Observed{State: same("v2"), Fence: 7}}},
		{6.4, Tick{}},
		{6.5, ReadFailed{7}},
		{7.5, Tick{}},
		{7.6, ReadDone{8, Observed{State: version("v3"), Fence: 9}}},
		{8, plan(9, "v3")},
		{8.1, ReadDone{9, Observed{State: version("v3"), Fence: 9}}},
		{8.2, plan(8, "v1")},
		{9, plan(11, "v3")},
		// The state is the wanted one, but a delayed order 10 could still change it.
		{9.1, ReadDone{10, Observed{State: version("v3"), Fence: 9}}},
		{9.2, OrderFenced{11}},
		{9.3, plan(12, "v3")},
		{9.4, ReadDone{12, Observed{State: version("v3"), Fence: 12}}},
	}), "fencing.golden")
}

// An engine that ignores fencing must be left alone until earlier orders can no
// longer take effect, and must be read after that before it stands.
func TestSessionWithoutFencing(t *testing.T) {
	golden.Assert(t, play(t, false, []moment{
		{0, plan(7, "v2")},
		{0.5, PlanConfirmed{}},
		{0.6, ReadDone{1, Observed{State: version("v1")}}},
		{5, Tick{}},
		{9, Tick{}},
		{10, Tick{}},
		{10.1, ReadDone{2, Observed{State: version("v1")}}},
		{10.2, plan(8, "v3")},
		{10.3, OrderAccepted{3}},
		{10.4, ReadDone{4, Observed{State: version("v2")}}},
		{15, Tick{}},
		{20, Tick{}},
		{20.3, Tick{}},
		{20.4, ReadDone{5, Observed{State: version("v2")}}},
		{20.5, OrderRejected{6}},
		{21.5, Tick{}},
		{21.6, ReadDone{7, Observed{State: version("v2")}}},
		{22, OrderAccepted{8}},
		{26, Tick{}},
		{31, Tick{}},
		{31.9, Tick{}},
		// This read was asked for before 32 s, so an order may have landed after it.
		{32.1, ReadDone{9, Observed{State: version("v3")}}},
		{32.2, ReadDone{10, Observed{State: version("v3")}}},
		{37.3, Tick{}},
		{37.4, PlanConfirmed{AsOf: time.Unix(1e9+37, 0)}},
		{37.5, PlanConfirmed{}},
		{37.6, ReadDone{10, Observed{State: version("v1")}}},
		{37.7, ReadDone{11, Observed{State: version("v3")}}},
	}), "without_fencing.golden")
}
