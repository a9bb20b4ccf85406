package admission

import (
	"math"
	"sort"
	"time"
)

const (
	// reserveStdDevs is the margin of the reserve above the mean demand, in standard
	// deviations. Random arrivals vary by about the square root of their mean.
	reserveStdDevs = 2.0
	// floodFactor is the demand, as a multiple of its share, above which a flow may
	// not use the reserve. Flows near their share merely fluctuate; a reserve against
	// each other would leave capacity unused.
	floodFactor = 1.5
	// maxReserveFraction is the largest fraction of the limit that is kept free of flooding flows.
	maxReserveFraction = 0.3
	// refreshInterval is how often flows are classified by their share.
	refreshInterval = 200 * time.Millisecond
	// refreshOffers is the number of requests that triggers an earlier refresh, so that
	// a sudden flood is not mistaken for a flow under its share.
	refreshOffers = 32
)

// reservePolicy reserves headroom for flows that demand less than their share while
// others demand more. Without it a flooding team would occupy every slot, and each
// request of another team would first wait for one of that team's requests to end.
type reservePolicy struct {
	lastRefresh        time.Time
	offersSinceRefresh int
}

// refresh classifies flows as under their share or flooding and updates the
// reserves. Higher priorities are served first, so the flows of a class share the
// capacity that those leave.
func (r *reservePolicy) refresh(now time.Time, classes []*class, limit, serviceTime float64) {
	if now.Sub(r.lastRefresh) < refreshInterval && r.offersSinceRefresh < refreshOffers {
		return
	}
	r.lastRefresh, r.offersSinceRefresh = now, 0
	protectedDemand, protectedRunning := 0.0, 0.0
	for _, k := range classes {
		k.reserved, k.protectedRunning, k.hasFlooding = protectedDemand, protectedRunning, false
		demands := k.demands(now, serviceTime)
		var underShare int
		underShare, k.sharePerWeight = maxMinShare(demands, max(limit-protectedDemand, 0))
		for i, d := range demands {
			d.flow.underShare = i < underShare
			d.flow.flooding = !d.flow.underShare && d.demand > floodFactor*k.sharePerWeight*d.flow.weight
			k.hasFlooding = k.hasFlooding || d.flow.flooding
			if d.flow.underShare {
				k.reserved += d.demand
				k.protectedRunning += d.flow.runningCost
			}
			protectedDemand += d.demand
			protectedRunning += d.flow.runningCost
		}
		k.reserved += reserveStdDevs * math.Sqrt(k.reserved)
	}
}

// flowDemand is the cost that a flow would run concurrently if it were not limited.
type flowDemand struct {
	flow   *flow
	demand float64
}

// minDemand is the demand, in cost units, at or below which a flow counts as idle.
const minDemand = 1e-3

// demands returns the demands of the flows that are not idle, in ascending order of
// demand per weight. It classifies all flows as under their share.
func (k *class) demands(now time.Time, serviceTime float64) []flowDemand {
	var demands []flowDemand
	for _, f := range k.flows {
		demand := f.offered.at(now) * f.team.serviceTime.valueOr(serviceTime)
		f.underShare, f.flooding = true, false
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

// maxMinShare divides the remaining capacity by weighted max-min fairness. It returns
// how many flows, in the given order, get their whole demand, and the share per
// weight of the others (0 if there are none).
func maxMinShare(demands []flowDemand, remaining float64) (int, float64) {
	weight := 0.0
	for _, d := range demands {
		weight += d.flow.weight
	}
	for i, d := range demands {
		if d.demand*weight > remaining*d.flow.weight {
			return i, remaining / weight
		}
		remaining -= d.demand
		weight -= d.flow.weight
	}
	return len(demands), 0
}

// unusedReserve returns the free capacity that flooding flows may not use.
func (k *class) unusedReserve(limit float64) float64 {
	return min(max(k.reserved-k.protectedRunning, 0), limit*maxReserveFraction)
}

// addRunningCost updates the running costs of the flow and of the protected flows between refreshes.
func (f *flow) addRunningCost(classes []*class, ownClass *class, cost float64) {
	f.runningCost += cost
	for _, k := range classes {
		if k.priority < ownClass.priority || k == ownClass && f.underShare {
			k.protectedRunning += cost
		}
	}
}
