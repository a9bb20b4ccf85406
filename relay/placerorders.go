package relay

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/placement"
)

// orderLayers sends one order and reports whether the engine may carry it out.
func (p *placer) orderLayers(ctx context.Context, server Server, r placement.Range) bool {
	outcome, expectedOrders, err := p.sendOrder(ctx, server, r)
	line := logevent.Write(p.logger, logevent.OrderSent).Str("server", server.ID).Str("zone", server.Zone).Int64("born", server.StartTimeMillis).
		Int("first", r.First).Int("limit", r.Limit).Int("held_first", server.Layers.First).Int("held_limit", server.Layers.Limit).Int64("orders", expectedOrders).Int64("term", p.term()).
		Str("outcome", string(outcome))
	if err != nil {
		line = line.Str("cause", err.Error())
	}
	line.Msg("")
	return outcome == OrderStarted || outcome == OrderAlreadyApplied || outcome == OrderUnknown
}

// sendOrder sends one order. The order states how many orders the engine has started, so
// that the engine rejects it if it arrives after a newer one. An engine without layers
// has usually started none, so it is asked for its status only after it has rejected an
// order that says so: at the start of a fleet all engines need an order at once.
func (p *placer) sendOrder(ctx context.Context, server Server, r placement.Range) (outcome OrderOutcome, expectedOrders int64, err error) {
	if !p.holdsLease() {
		// Another entry may have taken over since the orders were planned.
		return OrderNotSent, 0, nil
	}
	if server.Layers == (placement.Range{}) && !p.fleet.isLimited(server.ID) {
		outcome, err = p.engines.AssignLayers(ctx, server, r, 0)
		if outcome != OrderConflict {
			return outcome, 0, err
		}
	}
	status, err := p.engines.Status(ctx, server.Address)
	switch {
	case errors.Is(err, errServerPaused):
		return OrderPaused, 0, err
	case err != nil:
		return OrderUnknown, 0, err
	case status.Busy:
		return OrderBusy, status.OrdersStarted, nil
	case status.Layers != server.Layers:
		// The order was planned by a record that is older than the engine's state: the
		// store may have come back from an older copy.
		return OrderOutdated, status.OrdersStarted, nil
	case !p.holdsLease():
		// Another entry may have taken over while this one was held up.
		return OrderNotSent, status.OrdersStarted, nil
	}
	outcome, err = p.engines.AssignLayers(ctx, server, r, status.OrdersStarted)
	return outcome, status.OrdersStarted, err
}
