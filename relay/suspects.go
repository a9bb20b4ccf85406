package relay

import (
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
)

// avoidEngine keeps stages from an engine that refused one.
func (f *fleet) avoidEngine(now time.Time, id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.Avoid(now, id)
}

// markSuspect records that a refusal named an engine as its cause, and reports
// whether the engine may be dead: it should have free capacity, and it is not
// under suspicion already.
func (f *fleet) markSuspect(now time.Time, id string, capacity float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conditions.Avoid(now, id)
	if now.Sub(f.startedAt) < settleTime || f.inProgress(now, id).layerTokens > nearlyFullFraction*capacity {
		return false
	}
	return f.conditions.Name(now, id)
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

// nearlyFullFraction is the fraction of an engine's memory in use above which
// a refusal may be due to lack of memory.
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
