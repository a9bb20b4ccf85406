package admission

import "github.com/sapphirefield/sapphirefield/demand"

// Summary returns the work that waits, by the urgency that urgencyOf assigns to a rank
// and a team.
func (q *WaitQueue) Summary(urgencyOf func(rank int, team string) int) []demand.Load {
	waiting := map[int]float64{}
	for _, w := range q.items {
		waiting[urgencyOf(w.Rank, w.Team)] += w.Work
	}
	loads := make([]demand.Load, 0, len(waiting))
	for urgency, work := range waiting {
		loads = append(loads, demand.Load{Urgency: urgency, Waiting: work})
	}
	return loads
}
