// Package pipeline decides which chain of stages serves a request, which steps a
// stage may run, and how a request continues after a stage of its chain is lost.
// It performs no I/O and reads no clock: time, random numbers and observations
// are arguments.
package pipeline

import (
	"time"

	"github.com/pkg/errors"
)

// Stage is an engine with the layer range that it serves under a placement plan.
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
	// Weight is the throughput that the plan assigns to the stage, in tokens/s.
	Weight float64
}

// Chain is an ordered list of stages whose ranges cover each of the model's
// layers exactly once and in order.
type Chain struct {
	// Revision is the revision of the plan to which the chain is pinned. Ranges
	// of another plan must not be mixed into the chain.
	Revision int64
	Stages   []Stage
}

// Validate returns an error unless the chain runs each of the layers exactly once
// and in order, with a single model version.
func (c Chain) Validate(layers int) error {
	next := 0
	for _, s := range c.Stages {
		if s.Version != c.Stages[0].Version {
			return errors.Errorf("stage %s serves version %q, but the first stage serves %q", s.Instance, s.Version, c.Stages[0].Version)
		}
		if s.First != next || s.Limit <= s.First {
			return errors.Errorf("stage %s holds layers [%d, %d), want a range that starts at %d", s.Instance, s.First, s.Limit, next)
		}
		next = s.Limit
	}
	if next != layers {
		return errors.Errorf("chain ends at layer %d, want %d", next, layers)
	}
	return nil
}

// Version returns the model version that the chain's stages serve.
func (c Chain) Version() string {
	if len(c.Stages) == 0 {
		return ""
	}
	return c.Stages[0].Version
}

// Load is a load report of one engine. Reports arrive with a delay.
type Load struct {
	Instance string
	// At is the time at which the report was made.
	At time.Time
	// Running and Queued count the engine's requests from all entry processes.
	Running, Queued int
	// An engine that is Draining or Down is excluded from new chains.
	Draining, Down bool
}

// Prefix is a prefix of a prompt that may be in an engine's prefix cache.
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
	// Evicted is true if the prefix was evicted, false if it was stored.
	Evicted bool
}

// Request holds the properties of a request on which the choice of a chain depends.
type Request struct {
	At time.Time
	// Zone is the availability zone of the entry process; it may be empty.
	Zone                       string
	PromptTokens, OutputTokens int
	// Prefixes are the cacheable prefixes of the prompt, in any order.
	Prefixes []Prefix
}

// ErrNoChain is returned if the available stages cannot cover the model's layers.
var ErrNoChain = errors.New("no chain of available stages covers all layers")
