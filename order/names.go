package order

import (
	"sync"

	"github.com/sapphirefield/sapphirefield/chart"
)

// loadChart loads the chart once, because it never changes.
var loadChart = sync.OnceValues(func() (*chart.Chart, error) {
	return chart.LoadEmbedded("engine_order", allStates, allEvents)
})

// The states of the chart engine_order.
const (
	idle      chart.State = "idle"
	reading   chart.State = "reading"
	ordering  chart.State = "ordering"
	verifying chart.State = "verifying"
	loading   chart.State = "loading"
	settling  chart.State = "settling"
	waiting   chart.State = "waiting"
	standing  chart.State = "standing"
	checking  chart.State = "checking"
	fenced    chart.State = "fenced"
)

var allStates = []chart.State{idle, reading, ordering, verifying, loading, settling, waiting, standing, checking, fenced}

// The events of the chart engine_order.
const (
	begin           chart.Event = "begin"
	planned         chart.Event = "plan"
	resumed         chart.Event = "resumed"
	outdated        chart.Event = "outdated"
	readWanted      chart.Event = "read_wanted"
	readWantedEarly chart.Event = "read_wanted_early"
	readOther       chart.Event = "read_other"
	readOtherEarly  chart.Event = "read_other_early"
	readSuperseded  chart.Event = "read_superseded"
	readBusy        chart.Event = "read_busy"
	readNewer       chart.Event = "read_newer"
	readFailed      chart.Event = "read_failed"
	answered        chart.Event = "answered"
	refused         chart.Event = "refused"
	rejected        chart.Event = "rejected"
	lost            chart.Event = "lost"
	settled         chart.Event = "settled"
	pausePassed     chart.Event = "pause_passed"
	checkDue        chart.Event = "check_due"
)

var allEvents = []chart.Event{begin, planned, resumed, outdated, readWanted, readWantedEarly, readOther,
	readOtherEarly, readSuperseded, readBusy, readNewer, readFailed, answered, refused, rejected, lost, settled,
	pausePassed, checkDue}
