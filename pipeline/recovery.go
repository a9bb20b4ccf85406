package pipeline

import (
	"time"

	"github.com/pkg/errors"
)

// KVCopy is a copy of a request's KV cache for a range of layers.
type KVCopy struct {
	// Holder is the instance that holds the copy, and Zone its availability zone.
	Holder string
	Zone   string
	// First and Limit bound the layers [First, Limit).
	First, Limit int
	// Tokens is the number of tokens, from the start of the prompt, in the copy.
	Tokens int
}

// InterruptedRequest is a request whose chain has lost stages.
type InterruptedRequest struct {
	Request Request
	Chain   Chain
	// Attempt is the number of the attempt that used the chain.
	Attempt uint32
	// Received is the number of tokens that the entry process has received.
	Received int
	// Lost holds the lost instances. Busy instances must not be in it.
	Lost   map[string]bool
	Copies []KVCopy
}

// RestoreMethod is the way in which a stage obtains the request's KV cache.
type RestoreMethod string

// Values of RestoreMethod.
const (
	// RestoreKeep means that the stage already holds the cache.
	RestoreKeep RestoreMethod = "keep"
	// RestoreImport means that the stage imports a copy.
	RestoreImport RestoreMethod = "import"
	// RestoreReplay means that the stage processes the prompt and the received tokens again.
	RestoreReplay RestoreMethod = "replay"
)

// Restore describes how a stage of the new chain obtains the KV cache before the
// next token.
type Restore struct {
	Method RestoreMethod
	// Copy is set for RestoreImport.
	Copy KVCopy
}

// Resumption describes how a request continues.
type Resumption struct {
	Chain   Chain
	Attempt uint32
	// NextIndex is the index of the next token to generate. Tokens below it
	// have been received and are never generated again.
	NextIndex int
	// Restores has one element for each stage of Chain.
	Restores []Restore
	// ReplayFrom is the first token, counted from the start of the prompt, that
	// is replayed, and ReplayStages the number of stages, from the first, that
	// replay it. If ReplayStages is 0, there is no replay.
	ReplayFrom, ReplayStages int
	// Estimate is the expected time to restore the cache.
	Estimate time.Duration
}

// RecoveryOptions describes the model. PrefillSpeedup has the same default as in
// the options of a Chooser.
type RecoveryOptions struct {
	KVBytesPerTokenLayer int64
	ActivationBytes      int64
	PrefillSpeedup       float64
	// KVBytesPerSecond is the bandwidth of a KV cache transfer; 0 disables the use
	// of copies.
	KVBytesPerSecond float64
}

// Recovery decides how requests continue after stages of their chains are lost.
type Recovery struct {
	chooser *Chooser
	opts    RecoveryOptions
}

// NewRecovery returns a Recovery that takes replacement stages from the chooser.
func NewRecovery(chooser *Chooser, opts RecoveryOptions) *Recovery {
	if opts.PrefillSpeedup <= 0 {
		opts.PrefillSpeedup = defaultPrefillSpeedup
	}
	return &Recovery{chooser: chooser, opts: opts}
}

// ErrNoStageLost is returned if no stage of the chain is lost.
var ErrNoStageLost = errors.New("no stage of the chain is lost")

// Resume returns the chain on which an interrupted request continues, and how its
// KV cache is restored. Where the ranges allow it, only lost stages are replaced.
func (r *Recovery) Resume(b InterruptedRequest) (Resumption, error) {
	if !r.hasLostStage(b) {
		return Resumption{}, ErrNoStageLost
	}
	replay := func(s Stage) float64 { return r.replayTime(s, b.contextTokens()) }
	restore := func(s Stage) float64 {
		cost := replay(s)
		if c, found := r.bestCopy(b, s); found {
			cost = min(cost, r.importTime(c, s)+r.replayTime(s, b.contextTokens()-c.Tokens))
		}
		return cost
	}
	req := b.Request
	req.PromptTokens = b.contextTokens()
	chain, err := r.chooser.Repair(req, b.Chain, b.Lost, replay, restore)
	if err != nil {
		return Resumption{}, err
	}
	res := r.planRestore(b, chain)
	res.Chain = chain
	res.Attempt = b.Attempt + 1
	res.NextIndex = b.Received
	return res, nil
}

func (r *Recovery) hasLostStage(b InterruptedRequest) bool {
	for _, s := range b.Chain.Stages {
		if b.Lost[s.Instance] {
			return true
		}
	}
	return false
}

// contextTokens returns the number of tokens whose KV cache the next step needs.
func (b InterruptedRequest) contextTokens() int {
	return b.Request.PromptTokens + b.Received
}

// planRestore picks the fastest way to restore the new stages. A replay runs
// through every stage up to the last one that replays, because the earlier
// stages produce its activations. The options therefore differ in the stage up
// to which tokens are replayed; all new stages after it import copies.
func (r *Recovery) planRestore(b InterruptedRequest, chain Chain) Resumption {
	best := r.replayUpTo(b, chain, r.lastNewStage(b, chain))
	for last := len(chain.Stages) - 1; last >= -1; last-- {
		if last >= 0 && b.Chain.contains(chain.Stages[last]) {
			continue
		}
		if option, feasible := r.importAfter(b, chain, last); feasible && option.Estimate < best.Estimate {
			best = option
		}
	}
	return best
}

func (r *Recovery) lastNewStage(b InterruptedRequest, chain Chain) int {
	last := -1
	for i, s := range chain.Stages {
		if !b.Chain.contains(s) {
			last = i
		}
	}
	return last
}

// replayUpTo returns the option that replays all tokens through the stages up to
// last. No new stage may come after last, unless the caller sets its method.
func (r *Recovery) replayUpTo(b InterruptedRequest, chain Chain, last int) Resumption {
	res := Resumption{Restores: make([]Restore, len(chain.Stages)), ReplayStages: last + 1}
	for i, s := range chain.Stages {
		res.Restores[i].Method = RestoreKeep
		if !b.Chain.contains(s) {
			res.Restores[i].Method = RestoreReplay
		}
	}
	res.Estimate = seconds(r.chainReplayTime(chain, last+1, b.contextTokens()))
	return res
}

// importAfter returns the option that replays all tokens through the stages up to
// last and imports copies for the new stages after it. If copies lack the latest
// tokens, these are replayed through all stages up to the last one that lacks them.
// It returns false if a new stage has no usable copy.
func (r *Recovery) importAfter(b InterruptedRequest, chain Chain, last int) (Resumption, bool) {
	res := r.replayUpTo(b, chain, last)
	importSeconds, minTokens := 0.0, b.contextTokens()
	replayStages := last + 1
	for i := last + 1; i < len(chain.Stages); i++ {
		s := chain.Stages[i]
		if b.Chain.contains(s) {
			continue
		}
		c, found := r.bestCopy(b, s)
		if !found {
			return Resumption{}, false
		}
		res.Restores[i] = Restore{Method: RestoreImport, Copy: c}
		importSeconds = max(importSeconds, r.importTime(c, s))
		if c.Tokens < b.contextTokens() {
			minTokens = min(minTokens, c.Tokens)
			replayStages = i + 1
		}
	}
	total := max(importSeconds, r.chainReplayTime(chain, last+1, b.contextTokens()))
	if replayStages > last+1 {
		total += r.chainReplayTime(chain, replayStages, b.contextTokens()-minTokens)
	}
	if last < 0 {
		res.ReplayFrom = minTokens
	}
	res.ReplayStages = replayStages
	res.Estimate = seconds(total)
	return res, true
}

// bestCopy returns the copy that covers the stage's layers and takes the least
// time to restore.
func (r *Recovery) bestCopy(b InterruptedRequest, s Stage) (KVCopy, bool) {
	var best KVCopy
	bestTime := 0.0
	found := false
	for _, c := range b.Copies {
		if r.opts.KVBytesPerSecond <= 0 || b.Lost[c.Holder] || c.First > s.First || c.Limit < s.Limit || c.Tokens <= 0 {
			continue
		}
		c.Tokens = min(c.Tokens, b.contextTokens())
		t := r.importTime(c, s) + r.replayTime(s, b.contextTokens()-c.Tokens)
		if !found || t < bestTime {
			best, bestTime, found = c, t, true
		}
	}
	return best, found
}

func (r *Recovery) importTime(c KVCopy, s Stage) float64 {
	if c.Holder == s.Instance {
		return 0
	}
	bytes := int64(c.Tokens) * int64(s.Limit-s.First) * r.opts.KVBytesPerTokenLayer
	return float64(bytes)/r.opts.KVBytesPerSecond + r.chooser.links.Cost(c.Zone, s.Zone, r.opts.ActivationBytes)
}

// replayTime returns the seconds that a stage takes to replay a number of tokens.
func (r *Recovery) replayTime(s Stage, tokens int) float64 {
	return float64(tokens) / (s.Weight * r.opts.PrefillSpeedup)
}

// chainReplayTime returns the seconds that the first stages of a chain take to
// replay a number of tokens. Chunks are pipelined, so the slowest stage or link
// counts in full, and each hop adds the transfer time of one activation.
func (r *Recovery) chainReplayTime(chain Chain, stages, tokens int) float64 {
	slowest, hops := 0.0, 0.0
	for i := range stages {
		slowest = max(slowest, r.replayTime(chain.Stages[i], tokens))
		if i > 0 {
			from, to := chain.Stages[i-1].Zone, chain.Stages[i].Zone
			hops += r.chooser.links.Cost(from, to, r.opts.ActivationBytes)
			slowest = max(slowest, r.chooser.links.Cost(from, to, int64(tokens)*r.opts.ActivationBytes))
		}
	}
	return slowest + hops
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
