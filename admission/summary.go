package admission

import (
	"time"

	"github.com/sapphirefield/sapphirefield/demand"
)

// Summary returns the work of the requests that arrived before a time and still wait, by
// the urgency that urgencyOf assigns to a rank and a team.
func (q *WaitQueue) Summary(arrivedBefore time.Time, urgencyOf func(rank int, team string) int) []demand.Load {
	waiting := map[int]float64{}
	for _, w := range q.items {
		if w.Arrived.Before(arrivedBefore) {
			waiting[urgencyOf(w.Rank, w.Team)] += w.Work
		}
	}
	loads := make([]demand.Load, 0, len(waiting))
	for urgency, work := range waiting {
		loads = append(loads, demand.Load{Urgency: urgency, Waiting: work})
	}
	return loads
}
