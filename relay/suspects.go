package relay

import (
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
)

// refusedSlowdown is the slowdown of an engine that refuses stages, for this entry and for
// those that it tells. They prefer any path around it, but can still use it where there is
// none.
const refusedSlowdown = 16

// refuseStage records that an engine refused a stage, and reports whether that is news for
// the other entries: it should have had room, and was not known to refuse.
func (f *fleet) refuseStage(now time.Time, id string, capacity float64) (isNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.mayBeFull(now, id, capacity) {
		f.conditions.Avoid(now, id)
		return false
	}
	return f.conditions.RefuseStage(now, id, f.random.Float64())
}

// acceptStages records that the engines of a path run the stages of a request that was
// sent at a time.
func (f *fleet) acceptStages(hops []pipeline.Hop, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hops {
		f.conditions.AcceptStage(h.Engine, sent)
	}
}

// avoidEngine keeps stages from an engine for a moment.
func (f *fleet) avoidEngine(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.Avoid(now, id)
}

// mayBeFull reports whether a refusal may be due to lack of memory or slots.
func (f *fleet) mayBeFull(now time.Time, id string, capacity float64) bool {
	u, slots := f.inProgress(now, id), f.servers[id].Slots
	return now.Sub(f.startedAt) < settleTime || u.layerTokens > nearlyFullFraction*capacity ||
		slots > 0 && float64(u.usedSlots) > nearlyFullFraction*float64(slots)
}

// nameSuspect records that a refusal named an engine as its cause, and reports whether
// the engine may be dead: it should have room, and it is not under suspicion already.
func (f *fleet) nameSuspect(now time.Time, id string, capacity float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.mayBeFull(now, id, capacity) && f.conditions.Name(now, id)
}

// confirmSuspect records that a suspect does not respond, which the other entries
// are told.
func (f *fleet) confirmSuspect(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.MarkSilent(now, id)
}

// settleTime is how long after its start an entry does not take a refusal or a
// slow response of an engine for its death: engines may still run requests of
// entries that have ended at the same time, and all requests open connections.
const settleTime = 10 * time.Second

// nearlyFullFraction is the fraction of an engine's memory or slots in use above which
// a refusal may be due to lack of them.
const nearlyFullFraction = 0.7

// suspectHashes returns the current suspects, for the other entries.
func (f *fleet) suspectHashes(now time.Time) (hashes []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range f.conditions.Silent(now) {
		hashes = append(hashes, serverHash(id))
	}
	return hashes
}

// applyPeerSuspects avoids the suspects of another entry.
func (f *fleet) applyPeerSuspects(now time.Time, hashes []uint64) {
	if len(hashes) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.servers {
		if slices.Contains(hashes, serverHash(id)) {
			f.conditions.MarkSilentElsewhere(now, id)
		}
	}
}

// suspectsOn returns the engines of a path that do not respond, except the first.
func (f *fleet) suspectsOn(now time.Time, hops []pipeline.Hop) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, h := range hops[1:] {
		if f.conditions.IsDead(now, h.Engine) {
			ids = append(ids, h.Engine)
		}
	}
	return ids
}
