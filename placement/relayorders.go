package placement

// RelayOrders returns the ranges that engines should be told to hold now.
// Holds of an engine that is loading is the range that it will hold.
//
// It answers two patterns: a fleet that starts empty, which is planned as a
// whole, and engines that come empty later, because they are new or have
// restarted. Each of these takes what the others lack most, so that nothing
// that serves has to move.
func RelayOrders(engines []RelayEngine, m Model, opts RelayOptions) ([]RelayAssignment, error) {
	var empty, holding []RelayEngine
	for _, e := range engines {
		if e.Holds == (Range{}) {
			empty = append(empty, e)
		} else {
			holding = append(holding, e)
		}
	}
	if len(holding) == 0 {
		if len(empty) == 0 {
			return nil, nil
		}
		return PlanRelay(empty, m, opts)
	}
	var orders []RelayAssignment
	for _, e := range sortedBySpeed(empty) {
		r, ok := FillRelay(e, holding, m, opts)
		if !ok {
			continue
		}
		orders = append(orders, RelayAssignment{e.Name, r})
		e.Holds = r
		holding = append(holding, e)
	}
	return orders, nil
}
