package configsync

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// ErrStalePlan is returned for a plan that was made from an old state or
// without contact to the log. Nothing was sent.
var ErrStalePlan = errors.New("the plan was made from an old state")

// PlansUpToDate tells whether the plans of this process were the newest when it was
// called. While the log is down it tells whether peers answer and none of them
// has a newer plan.
func (s *Sync) PlansUpToDate(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	s.mutex.Lock()
	state, anchored := s.state, s.anchored
	s.mutex.Unlock()
	if !anchored {
		return false
	}
	batch, err := s.options.Log.Read(ctx, configlog.Stream, state.Next, 0)
	switch {
	case err == nil:
		return len(batch.Records) == 0 && batch.NextOffset <= state.Next
	case errors.Is(err, logservice.ErrUnavailable):
		return s.agreedByPeers(ctx, state)
	default:
		return false
	}
}

func (s *Sync) agreedByPeers(ctx context.Context, state configlog.Checkpoint) bool {
	if s.options.Peers == nil {
		return false
	}
	answers := 0
	for _, data := range s.options.Peers.States(ctx, max(state.Number-1, 0)) {
		peer, err := configlog.DecodeCheckpoint(data, s.options.Rules.Schema)
		if err != nil {
			continue
		}
		if peer.Next > state.Next {
			return false
		}
		answers++
	}
	return answers > 0
}

// ProposePlan appends a placement plan that replaces the one at the offset
// base, or the first one for base 0. It doesn't read back: the fold tells all
// processes alike what became of it, and a lost answer needs no repetition
// because the plan is decided anew from what is then in force.
func (s *Sync) ProposePlan(ctx context.Context, model string, base int64, data []byte) error {
	s.mutex.Lock()
	state, ready := s.state, s.anchored && s.status.LogAvailable
	s.mutex.Unlock()
	if !ready || state.Plans[model].Offset != base || !s.PlansUpToDate(ctx) {
		return ErrStalePlan
	}
	record, err := configlog.NewPlan(NewID(), configlog.PlanProposal{
		Model: model, Base: base, Revision: state.Number, Data: json.RawMessage(data),
	}).Encode()
	if err != nil {
		return err
	}
	_, err = s.options.Log.Append(ctx, configlog.Stream, record)
	return err
}
