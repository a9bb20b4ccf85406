package pipeline

import (
	"math"
	"time"
)

const (
	// prefixHalfLife is the age at which a cached prefix has half its weight.
	// Weights fall with age because an eviction may not have been reported yet.
	prefixHalfLife = 60 * time.Second
	// gapWeight is the factor for prefixes reported before a gap in the engine's events.
	gapWeight = 0.25
	// maxPrefixes bounds the number of prefixes in the index per engine.
	maxPrefixes = 4096
)

// CacheIndex tracks which prefixes the engines' caches hold. Entries are hints:
// their weight falls with age, and a gap in an engine's events reduces the weight
// of all its earlier entries.
type CacheIndex struct {
	engines map[string]*engineCache
}

type engineCache struct {
	nextSequence int64
	epoch        int
	prefixes     map[uint64]cachedPrefix
}

type cachedPrefix struct {
	at    time.Time
	epoch int
}

// NewCacheIndex returns an empty index.
func NewCacheIndex() *CacheIndex {
	return &CacheIndex{engines: map[string]*engineCache{}}
}

// Observe records an event. It ignores events that arrive after later ones.
func (x *CacheIndex) Observe(event CacheEvent) {
	e := x.engines[event.Instance]
	if e == nil {
		e = &engineCache{nextSequence: event.Sequence, prefixes: map[uint64]cachedPrefix{}}
		x.engines[event.Instance] = e
	}
	if event.Sequence < e.nextSequence {
		return
	}
	if event.Sequence > e.nextSequence {
		e.epoch++
	}
	e.nextSequence = event.Sequence + 1
	if event.Evicted {
		delete(e.prefixes, event.Hash)
		return
	}
	if len(e.prefixes) >= maxPrefixes {
		e.evictOldest()
	}
	e.prefixes[event.Hash] = cachedPrefix{at: event.At, epoch: e.epoch}
}

func (e *engineCache) evictOldest() {
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

// Forget removes an engine.
func (x *CacheIndex) Forget(instance string) {
	delete(x.engines, instance)
}

// SavedTokens returns the expected number of prompt tokens that the engine has
// cached and need not process.
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
			saved = max(saved, tokens*e.weight(p, req.At))
		}
	}
	return saved
}

func (e *engineCache) weight(p cachedPrefix, at time.Time) float64 {
	age := max(at.Sub(p.at), 0)
	weight := math.Exp2(-float64(age) / float64(prefixHalfLife))
	if p.epoch != e.epoch {
		weight *= gapWeight
	}
	return weight
}
