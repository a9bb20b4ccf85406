package admission

import (
	"math"
	"sort"
	"time"
)

const (
	// reserveSpread is how many times the square root of the mean is kept free
	// above it. Requests that arrive at random vary by about the square root.
	reserveSpread = 2.0
	// floodFactor is how many times its share a flow asks for before the reserve is
	// kept free of it. Flows near their share only vary, and a reserve against
	// each other would leave capacity unused.
	floodFactor = 1.5
	// maxReserve is the largest part of the limit that is kept free.
	maxReserve = 0.3
	// reserveInterval is how often flows are compared with their share.
	reserveInterval = 200 * time.Millisecond
	// reserveOffers is the number of requests after which they are compared sooner,
	// so that a sudden flood does not pass for a modest flow.
	reserveOffers = 32
)

// reserve keeps room for the flows that ask for less than their share while
// others ask for more. Without it a flooding team holds every slot, and each
// request of another team first waits for one of them to end.
type reserve struct {
	refreshed time.Time
	offers    int
}

// refresh finds the flows that ask for less than their share. Higher priorities
// are served first, so a class shares what they leave.
func (r *reserve) refresh(now time.Time, classes []*class, limit, hold float64) {
	if now.Sub(r.refreshed) < reserveInterval && r.offers < reserveOffers {
		return
	}
	r.refreshed, r.offers = now, 0
	protected, running := 0.0, 0.0
	for _, k := range classes {
		k.reserved, k.protectedRunning, k.flooded = protected, running, false
		demands := k.demands(now, hold)
		var modest int
		modest, k.shareByWeight = modestFlows(demands, max(limit-protected, 0))
		for i, d := range demands {
			d.flow.modest = i < modest
			d.flow.flooding = !d.flow.modest && d.demand > floodFactor*k.shareByWeight*d.flow.weight
			k.flooded = k.flooded || d.flow.flooding
			if d.flow.modest {
				k.reserved += d.demand
				k.protectedRunning += d.flow.running
			}
			protected += d.demand
			running += d.flow.running
		}
		k.reserved += reserveSpread * math.Sqrt(k.reserved)
	}
}

// flowDemand is the cost that a flow would run at once if it were not limited.
type flowDemand struct {
	flow   *flow
	demand float64
}

// minDemand is the demand below which a flow counts as idle.
const minDemand = 1e-3

// demands returns the demands of the flows that are not idle, the smallest for its weight first.
func (k *class) demands(now time.Time, hold float64) []flowDemand {
	var demands []flowDemand
	for _, f := range k.flows {
		demand := f.offered.at(now) * f.team.hold.valueOr(hold)
		f.modest, f.flooding = true, false
		if demand > minDemand {
			demands = append(demands, flowDemand{f, demand})
		}
	}
	sort.Slice(demands, func(i, j int) bool {
		a, b := demands[i], demands[j]
		if left, right := a.demand*b.flow.weight, b.demand*a.flow.weight; left != right {
			return left < right
		}
		return a.flow.team.name < b.flow.team.name
	})
	return demands
}

// modestFlows returns how many of the flows, from the smallest on, ask for less than
// their weighted share of what the smaller ones leave, and the share by weight
// of the others.
func modestFlows(demands []flowDemand, left float64) (int, float64) {
	weight := 0.0
	for _, d := range demands {
		weight += d.flow.weight
	}
	for i, d := range demands {
		if d.demand*weight > left*d.flow.weight {
			return i, left / weight
		}
		left -= d.demand
		weight -= d.flow.weight
	}
	return len(demands), 0
}

// free is what must stay free of requests of flooding flows.
func (k *class) free(limit float64) float64 {
	return min(max(k.reserved-k.protectedRunning, 0), limit*maxReserve)
}

// account keeps the running cost of the protected flows up to date between two refreshes.
func (f *flow) account(classes []*class, own *class, cost float64) {
	f.running += cost
	for _, k := range classes {
		if k.priority < own.priority || k == own && f.modest {
			k.protectedRunning += cost
		}
	}
}
