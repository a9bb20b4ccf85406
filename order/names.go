package order

import (
	"sync"

	"github.com/sapphirefield/sapphirefield/chart"
)

// loadChart parses the embedded chart once; it is immutable.
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
	converged chart.State = "standing"
	checking  chart.State = "checking"
	fenced    chart.State = "fenced"
)

var allStates = []chart.State{idle, reading, ordering, verifying, loading, settling, waiting, converged, checking, fenced}

// The events of the chart engine_order.
const (
	begin                chart.Event = "begin"
	newPlan              chart.Event = "plan"
	resumed              chart.Event = "resumed"
	planUnconfirmed      chart.Event = "outdated"
	readShowsWanted      chart.Event = "read_wanted"
	readShowsWantedEarly chart.Event = "read_wanted_early"
	readShowsOther       chart.Event = "read_other"
	readShowsOtherEarly  chart.Event = "read_other_early"
	readShowsSuperseded  chart.Event = "read_superseded"
	readShowsBusy        chart.Event = "read_busy"
	readShowsNewer       chart.Event = "read_newer"
	readFailed           chart.Event = "read_failed"
	accepted             chart.Event = "answered"
	refusedByFence       chart.Event = "refused"
	rejected             chart.Event = "rejected"
	unconfirmed          chart.Event = "lost"
	settled              chart.Event = "settled"
	retryDue             chart.Event = "pause_passed"
	checkDue             chart.Event = "check_due"
)

var allEvents = []chart.Event{begin, newPlan, resumed, planUnconfirmed, readShowsWanted, readShowsWantedEarly,
	readShowsOther, readShowsOtherEarly, readShowsSuperseded, readShowsBusy, readShowsNewer, readFailed, accepted,
	refusedByFence, rejected, unconfirmed, settled, retryDue, checkDue}
