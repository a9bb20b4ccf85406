package pipeline

import (
	"math"
	"time"
)

const (
	// prefixHalfLife is the age at which a cached prefix counts half, because
	// an eviction may not have been reported yet.
	prefixHalfLife = 60 * time.Second
	// doubtfulTrust is the weight of a prefix reported before a gap in the engine's events.
	doubtfulTrust = 0.25
	// maxPrefixes bounds the prefixes remembered for each engine.
	maxPrefixes = 4096
)

// CacheIndex remembers which prefixes engines hold. Entries are hints: their
// weight falls with age, and a gap in an engine's events makes all of its
// earlier entries doubtful.
type CacheIndex struct {
	engines map[string]*engineCache
}

type engineCache struct {
	next     int64
	epoch    int
	prefixes map[uint64]cachedPrefix
}

type cachedPrefix struct {
	at    time.Time
	epoch int
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{engines: map[string]*engineCache{}}
}

// Observe takes one event. Events that were overtaken by later ones are ignored.
func (x *CacheIndex) Observe(event CacheEvent) {
	e := x.engines[event.Instance]
	if e == nil {
		e = &engineCache{next: event.Sequence, prefixes: map[uint64]cachedPrefix{}}
		x.engines[event.Instance] = e
	}
	if event.Sequence < e.next {
		return
	}
	if event.Sequence > e.next {
		e.epoch++
	}
	e.next = event.Sequence + 1
	if event.Evicted {
		delete(e.prefixes, event.Hash)
		return
	}
	if len(e.prefixes) >= maxPrefixes {
		e.dropOldest()
	}
	e.prefixes[event.Hash] = cachedPrefix{at: event.At, epoch: e.epoch}
}

func (e *engineCache) dropOldest() {
	var oldest uint64
	var at time.Time
	first := true
	for hash, p := range e.prefixes {
		if first || p.at.Before(at) || p.at.Equal(at) && hash < oldest {
			oldest, at, first = hash, p.at, false
		}
	}
	delete(e.prefixes, oldest)
}

// Forget drops an engine that has left.
func (x *CacheIndex) Forget(instance string) {
	delete(x.engines, instance)
}

// SavedTokens returns the expected number of prompt tokens that the engine need not run.
func (x *CacheIndex) SavedTokens(instance string, req Request) float64 {
	e := x.engines[instance]
	if e == nil {
		return 0
	}
	saved := 0.0
	for _, prefix := range req.Prefixes {
		p, held := e.prefixes[prefix.Hash]
		if held {
			tokens := float64(min(prefix.Tokens, req.PromptTokens))
			saved = max(saved, tokens*e.trust(p, req.At))
		}
	}
	return saved
}

func (e *engineCache) trust(p cachedPrefix, at time.Time) float64 {
	age := max(at.Sub(p.at), 0)
	trust := math.Exp2(-float64(age) / float64(prefixHalfLife))
	if p.epoch != e.epoch {
		trust *= doubtfulTrust
	}
	return trust
}
