package admission

import "github.com/sapphirefield/sapphirefield/demand"

// Summary returns the work of the waiting requests by urgency. urgencyOf returns the
// urgency of a request, and false for one that does not count.
func (q *WaitQueue) Summary(urgencyOf func(w *Waiting) (int, bool)) []demand.Load {
	waiting := map[int]float64{}
	for _, w := range q.items {
		if urgency, counts := urgencyOf(w); counts {
			waiting[urgency] += w.work()
		}
	}
	loads := make([]demand.Load, 0, len(waiting))
	for urgency, work := range waiting {
		loads = append(loads, demand.Load{Urgency: urgency, Waiting: work})
	}
	return loads
}
