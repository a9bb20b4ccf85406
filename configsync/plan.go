package configsync

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/logservice"
)

// ErrStalePlan is returned for a plan that was computed from outdated state or
// while the log is unreachable. The plan was not appended.
var ErrStalePlan = errors.New("the plan was computed from outdated state")

// PlansUpToDate reports whether this process had applied the whole log, and so
// has the newest plans, when it was called. While the log is unavailable, it
// reports whether at least one peer replies and none has read further in the log.
func (s *Sync) PlansUpToDate(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, s.options.PeerTimeout)
	defer cancel()
	s.mutex.Lock()
	checkpoint, following := s.checkpoint, s.following
	s.mutex.Unlock()
	if !following {
		return false
	}
	batch, err := s.options.Log.Read(ctx, configlog.Stream, checkpoint.Next, 0)
	switch {
	case err == nil:
		return len(batch.Records) == 0 && batch.NextOffset <= checkpoint.Next
	case errors.Is(err, logservice.ErrUnavailable):
		return s.confirmedByPeers(ctx, checkpoint)
	default:
		return false
	}
}

// confirmedByPeers reports whether at least one peer replies and none has read
// further in the log than checkpoint.
func (s *Sync) confirmedByPeers(ctx context.Context, checkpoint configlog.Checkpoint) bool {
	if s.options.Peers == nil {
		return false
	}
	replies := 0
	for _, data := range s.options.Peers.States(ctx, max(checkpoint.Number-1, 0)) {
		peer, err := configlog.DecodeCheckpoint(data, s.options.Rules.Schema)
		if err != nil {
			continue
		}
		if peer.Next > checkpoint.Next {
			return false
		}
		replies++
	}
	return replies > 0
}

// ProposePlan appends a placement plan that replaces the one at offset base; base
// is 0 for a model's first plan. It doesn't read the outcome back: every process
// learns it by applying the log. After a lost reply no retry is needed, because
// the next plan is computed from whatever is active then.
func (s *Sync) ProposePlan(ctx context.Context, model string, base int64, data []byte) error {
	s.mutex.Lock()
	checkpoint, ready := s.checkpoint, s.following && s.status.LogAvailable
	s.mutex.Unlock()
	if !ready || checkpoint.Plans[model].Offset != base || !s.PlansUpToDate(ctx) {
		return ErrStalePlan
	}
	record, err := configlog.NewPlan(NewID(), configlog.PlanProposal{
		Model: model, Base: base, Revision: checkpoint.Number, Data: json.RawMessage(data),
	}).Encode()
	if err != nil {
		return err
	}
	_, err = s.options.Log.Append(ctx, configlog.Stream, record)
	return err
}
