package pipeline

import (
	"time"

	"github.com/pkg/errors"
)

// KVCopy is a copy of a request's KV cache for some layers, held by an instance.
type KVCopy struct {
	Holder string
	Zone   string
	// First and Limit bound the layers [First, Limit).
	First, Limit int
	// Tokens is how many tokens, from the start of the prompt, the copy holds.
	Tokens int
}

// InterruptedRequest is a request whose chain has lost stages.
type InterruptedRequest struct {
	Request Request
	Chain   Chain
	// Attempt is the number of the attempt that ran on the chain.
	Attempt uint32
	// Received is the number of tokens that the entry has received.
	Received int
	// Lost are the instances that are lost. A busy instance must not be in it.
	Lost   map[string]bool
	Copies []KVCopy
}

// RestoreMethod says how a stage gets the request's KV cache.
type RestoreMethod string

// The methods.
const (
	// RestoreKeep means that the stage holds the cache already.
	RestoreKeep RestoreMethod = "keep"
	// RestoreImport means that the stage imports a copy.
	RestoreImport RestoreMethod = "import"
	// RestoreReplay means that the prompt and the tokens run through the stage again.
	RestoreReplay RestoreMethod = "replay"
)

// Restore is what one stage of the new chain does before the next token.
type Restore struct {
	Method RestoreMethod
	// Copy is set for Import.
	Copy KVCopy
}

// Resumption is how a request goes on.
type Resumption struct {
	Chain   Chain
	Attempt uint32
	// NextIndex is the index of the next token to generate. Tokens below it
	// have been received and are never generated again.
	NextIndex int
	// Restores has one entry for each stage of Chain.
	Restores []Restore
	// ReplayFrom is the first token, counted from the start of the prompt,
	// that runs again, and ReplayStages the number of stages, from the first,
	// that it runs through. Replay is not needed if ReplayStages is 0.
	ReplayFrom, ReplayStages int
	// Estimate is the expected time until the cache is restored.
	Estimate time.Duration
}

// RecoveryOptions describe the model. PrefillSpeedup has the Chooser's default.
type RecoveryOptions struct {
	KVBytesPerTokenLayer int64
	ActivationBytes      int64
	PrefillSpeedup       float64
	// KVBytesPerSecond is the rate of a KV transfer; 0 means that copies are not used.
	KVBytesPerSecond float64
}

// Recovery decides how requests go on after stages of their chain are lost.
type Recovery struct {
	chooser *Chooser
	opts    RecoveryOptions
}

// NewRecovery returns a Recovery that takes replacements from the chooser.
func NewRecovery(chooser *Chooser, opts RecoveryOptions) *Recovery {
	if opts.PrefillSpeedup <= 0 {
		opts.PrefillSpeedup = defaultPrefillSpeedup
	}
	return &Recovery{chooser: chooser, opts: opts}
}

// ErrNoStageLost says that no stage of the chain is lost, so that nothing is replaced.
var ErrNoStageLost = errors.New("no stage of the chain is lost")

// Resume returns the chain on which a broken request goes on, and how its KV
// cache is restored. It replaces only lost stages where the ranges allow it.
func (r *Recovery) Resume(b InterruptedRequest) (Resumption, error) {
	if !r.affected(b) {
		return Resumption{}, ErrNoStageLost
	}
	replay := func(s Stage) float64 { return r.replayTime(s, b.held()) }
	restore := func(s Stage) float64 {
		cost := replay(s)
		if c, found := r.bestCopy(b, s); found {
			cost = min(cost, r.importTime(c, s)+r.replayTime(s, b.held()-c.Tokens))
		}
		return cost
	}
	again := b.Request
	again.PromptTokens = b.held()
	chain, err := r.chooser.Repair(again, b.Chain, b.Lost, replay, restore)
	if err != nil {
		return Resumption{}, err
	}
	res := r.restoration(b, chain)
	res.Chain = chain
	res.Attempt = b.Attempt + 1
	res.NextIndex = b.Received
	return res, nil
}

func (r *Recovery) affected(b InterruptedRequest) bool {
	for _, s := range b.Chain.Stages {
		if b.Lost[s.Instance] {
			return true
		}
	}
	return false
}

// held is the number of tokens whose KV cache the next step needs.
func (b InterruptedRequest) held() int {
	return b.Request.PromptTokens + b.Received
}

// restoration picks the cheapest way to restore the new stages. A replay runs
// through every stage up to the last one that replays, because the earlier
// stages make the activations; so the choice is up to which stage to replay,
// and all new stages after it import copies.
func (r *Recovery) restoration(b InterruptedRequest, chain Chain) Resumption {
	best := r.replayThrough(b, chain, r.lastNew(b, chain))
	for last := len(chain.Stages) - 1; last >= -1; last-- {
		if last >= 0 && b.Chain.holds(chain.Stages[last]) {
			continue
		}
		if option, possible := r.importAfter(b, chain, last); possible && option.Estimate < best.Estimate {
			best = option
		}
	}
	return best
}

func (r *Recovery) lastNew(b InterruptedRequest, chain Chain) int {
	last := -1
	for i, s := range chain.Stages {
		if !b.Chain.holds(s) {
			last = i
		}
	}
	return last
}

// replayThrough replays everything up to a stage; all new stages are at or before it.
func (r *Recovery) replayThrough(b InterruptedRequest, chain Chain, last int) Resumption {
	res := Resumption{Restores: make([]Restore, len(chain.Stages)), ReplayStages: last + 1}
	for i, s := range chain.Stages {
		res.Restores[i].Method = RestoreKeep
		if !b.Chain.holds(s) {
			res.Restores[i].Method = RestoreReplay
		}
	}
	res.Estimate = seconds(r.chainReplayTime(chain, last+1, b.held()))
	return res
}

// importAfter replays everything up to a stage and imports copies for the new
// stages after it. If copies lack the latest tokens, those are replayed through
// all stages up to the last that lacks them.
func (r *Recovery) importAfter(b InterruptedRequest, chain Chain, last int) (Resumption, bool) {
	res := r.replayThrough(b, chain, last)
	imports, oldest := 0.0, b.held()
	through := last + 1
	for i := last + 1; i < len(chain.Stages); i++ {
		s := chain.Stages[i]
		if b.Chain.holds(s) {
			continue
		}
		c, found := r.bestCopy(b, s)
		if !found {
			return Resumption{}, false
		}
		res.Restores[i] = Restore{Method: RestoreImport, Copy: c}
		imports = max(imports, r.importTime(c, s))
		if c.Tokens < b.held() {
			oldest = min(oldest, c.Tokens)
			through = i + 1
		}
	}
	total := max(imports, r.chainReplayTime(chain, last+1, b.held()))
	if through > last+1 {
		total += r.chainReplayTime(chain, through, b.held()-oldest)
	}
	if last < 0 {
		res.ReplayFrom = oldest
	}
	res.ReplayStages = through
	res.Estimate = seconds(total)
	return res, true
}

// bestCopy is the copy of all of a stage's layers with the least time to restore.
func (r *Recovery) bestCopy(b InterruptedRequest, s Stage) (KVCopy, bool) {
	var best KVCopy
	bestTime := 0.0
	found := false
	for _, c := range b.Copies {
		if r.opts.KVBytesPerSecond <= 0 || b.Lost[c.Holder] || c.First > s.First || c.Limit < s.Limit || c.Tokens <= 0 {
			continue
		}
		c.Tokens = min(c.Tokens, b.held())
		t := r.importTime(c, s) + r.replayTime(s, b.held()-c.Tokens)
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

// replayTime is the time of one stage for a number of tokens.
func (r *Recovery) replayTime(s Stage, tokens int) float64 {
	return float64(tokens) / (s.Weight * r.opts.PrefillSpeedup)
}

// chainReplayTime is the time for a number of tokens through the first stages
// of a chain. Chunks overlap, so the slowest stage or link counts whole and
// every other hop once for one activation.
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
