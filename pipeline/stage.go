// Package pipeline decides which chain of stages serves a request and what to
// do when a stage of that chain is lost. All decisions are pure: time, random
// numbers and observations are arguments.
package pipeline

import (
	"time"

	"github.com/pkg/errors"
)

// Stage is an engine with the layer range that it serves under a plan.
type Stage struct {
	// Instance is the name of the engine's instance.
	Instance string
	// Address is where the sidecar beside the engine listens.
	Address string
	// Zone is the engine's availability zone.
	Zone string
	// First and Limit bound the layers [First, Limit).
	First, Limit int
	// Version is the model's version that the engine serves.
	Version string
	// Weight is the flow that the plan gives the stage, in tokens/s.
	Weight float64
}

// Chain is an ordered list of stages whose ranges tile the model's layers.
type Chain struct {
	// Revision is the plan to which the chain is pinned. Ranges of another
	// plan must not be mixed into the chain.
	Revision int64
	Stages   []Stage
}

// Validate returns nil if the chain's ranges run each of the layers once and in order.
func (c Chain) Validate(layers int) error {
	next := 0
	for _, s := range c.Stages {
		if s.Version != c.Stages[0].Version {
			return errors.Errorf("stage %s serves version %q, the chain began with %q", s.Instance, s.Version, c.Stages[0].Version)
		}
		if s.First != next || s.Limit <= s.First {
			return errors.Errorf("stage %s holds layers [%d, %d), want a range from %d", s.Instance, s.First, s.Limit, next)
		}
		next = s.Limit
	}
	if next != layers {
		return errors.Errorf("chain ends at layer %d of %d", next, layers)
	}
	return nil
}

// Version is the model's version that the chain's stages serve.
func (c Chain) Version() string {
	if len(c.Stages) == 0 {
		return ""
	}
	return c.Stages[0].Version
}

// Load is a load report of one engine. Reports arrive with a lag.
type Load struct {
	Instance string
	// At is when the report was made.
	At time.Time
	// Running and Queued count the requests of all entries on the engine.
	Running, Queued int
	// Draining and Down exclude the engine from new chains.
	Draining, Down bool
}

// Prefix is a leading part of a prompt that may be in an engine's cache.
type Prefix struct {
	Hash   uint64
	Tokens int
}

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Instance string
	// Sequence numbers the engine's events without gaps.
	Sequence int64
	At       time.Time
	Hash     uint64
	// Evicted is false when the prefix was stored.
	Evicted bool
}

// Request is what the choice of a chain depends on.
type Request struct {
	At time.Time
	// Zone is the entry's availability zone; it may be empty.
	Zone                       string
	PromptTokens, OutputTokens int
	// Prefixes are the cacheable prefixes of the prompt in any order.
	Prefixes []Prefix
}

// ErrNoChain says that the available stages cannot tile the model's layers.
var ErrNoChain = errors.New("no chain of available stages covers all layers")
