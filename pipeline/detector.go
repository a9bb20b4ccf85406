package pipeline

import "time"

// DetectorOptions configures the timeouts of a Detector. Zero fields have their
// defaults.
//
// Heartbeats every second with a timeout of three seconds cannot meet a recovery
// time of one second. The Detector therefore relies on the data path: a late
// token makes it probe the stages of that chain only.
type DetectorOptions struct {
	// FirstTokenTimeout and TokenTimeout are the times that the first and each
	// further token may take before the stages are probed.
	FirstTokenTimeout, TokenTimeout time.Duration
	// ProbeTimeout is the time that the reply to a probe may take. Sidecars answer
	// probes themselves, so the engine's load does not delay the reply.
	ProbeTimeout time.Duration
	// StallTimeout is the time that an engine with a pending step may take without
	// finishing an iteration. Chunked prefill keeps iterations far shorter.
	StallTimeout time.Duration
	// SettleDelay delays the report of a closed connection, so that stages that fail
	// together are replaced together and need only one replay.
	SettleDelay time.Duration
}

const (
	defaultFirstTokenTimeout = 300 * time.Millisecond
	defaultTokenTimeout      = 100 * time.Millisecond
	defaultProbeTimeout      = 150 * time.Millisecond
	defaultStallTimeout      = 350 * time.Millisecond
	defaultSettleDelay       = 5 * time.Millisecond
	// stallIterations extends the stall timeout of an engine with long iterations
	// to this multiple of its longest recent iteration.
	stallIterations = 3
	// probeInterval is the minimum time between probes of a stage.
	probeInterval = 50 * time.Millisecond
)

func (d DetectorOptions) withDefaults() DetectorOptions {
	orDefault := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	orDefault(&d.FirstTokenTimeout, defaultFirstTokenTimeout)
	orDefault(&d.TokenTimeout, defaultTokenTimeout)
	orDefault(&d.ProbeTimeout, defaultProbeTimeout)
	orDefault(&d.StallTimeout, defaultStallTimeout)
	orDefault(&d.SettleDelay, defaultSettleDelay)
	return d
}

// LossReason is the reason why a stage counts as lost.
type LossReason string

// Reasons for the loss of a stage.
const (
	LossClosed        LossReason = "closed"
	LossSilent        LossReason = "silent"
	LossEngineStalled LossReason = "engine_stalled"
)

// ProbeReply is a sidecar's reply to a probe.
type ProbeReply struct {
	Instance string
	// Iterations is the number of iterations that the engine has finished.
	Iterations uint64
	// Pending is set if a step of the request is queued or running on the engine.
	Pending bool
	// LongestIteration is the duration of the engine's longest recent iteration. An
	// engine with long iterations has more time before it counts as stalled.
	LongestIteration time.Duration
}

// Detector decides which stages of a request's chain are lost. A stage that
// replies to probes and whose engine finishes iterations is busy, not lost, no
// matter how late the token is.
type Detector struct {
	opts   DetectorOptions
	stages []*watchedStage
	// lastToken is when the last token arrived or, before the first, the attempt
	// started.
	lastToken    time.Time
	tokenTimeout time.Duration
	// reportAt is when stages with closed connections may be reported; zero if
	// there are none.
	reportAt time.Time
}

type watchedStage struct {
	instance string
	lost     LossReason
	reported bool
	// unansweredSince is when the oldest unanswered probe was sent; zero if there
	// is none. lastProbe is when the last probe was sent.
	unansweredSince, lastProbe time.Time
	iterations                 uint64
	longestIteration           time.Duration
	// lastProgress is when the engine last made progress or had no step pending.
	lastProgress time.Time
}

// NewDetector returns a Detector for a chain whose first step is sent at the given
// time.
func NewDetector(chain Chain, opts DetectorOptions, at time.Time) *Detector {
	d := &Detector{opts: opts.withDefaults(), lastToken: at}
	d.tokenTimeout = d.opts.FirstTokenTimeout
	for _, s := range chain.Stages {
		d.stages = append(d.stages, &watchedStage{instance: s.Instance, lastProgress: at})
	}
	return d
}

// ObserveToken records the arrival of a token of the current attempt, which shows
// that all stages have made progress.
func (d *Detector) ObserveToken(at time.Time) {
	d.lastToken = at
	d.tokenTimeout = d.opts.TokenTimeout
	for _, w := range d.stages {
		w.unansweredSince, w.lastProgress = time.Time{}, at
	}
}

// ObserveReply records the reply to a probe.
func (d *Detector) ObserveReply(reply ProbeReply, at time.Time) {
	w := d.find(reply.Instance)
	if w == nil {
		return
	}
	w.unansweredSince = time.Time{}
	if !reply.Pending || reply.Iterations != w.iterations {
		w.lastProgress = at
	}
	w.iterations = reply.Iterations
	w.longestIteration = reply.LongestIteration
}

// ObserveClosed records that the connection to a stage was closed or refused.
func (d *Detector) ObserveClosed(instance string, at time.Time) {
	w := d.find(instance)
	if w == nil || w.lost != "" {
		return
	}
	w.lost = LossClosed
	if d.reportAt.IsZero() {
		d.reportAt = at.Add(d.opts.SettleDelay)
	}
}

func (d *Detector) find(instance string) *watchedStage {
	for _, w := range d.stages {
		if w.instance == instance {
			return w
		}
	}
	return nil
}

// Assessment is the result of Tick.
type Assessment struct {
	// Probe lists the instances to probe now.
	Probe []string
	// Lost holds the instances that are newly lost since the last Tick.
	Lost map[string]LossReason
	// Next is when to call Tick again unless something is observed earlier.
	Next time.Time
}

// Tick returns the stages to probe now and the stages that are newly lost.
func (d *Detector) Tick(at time.Time) Assessment {
	result := Assessment{Lost: map[string]LossReason{}, Next: d.lastToken.Add(d.tokenTimeout)}
	late := !at.Before(result.Next)
	if late {
		result.Next = at.Add(probeInterval)
	}
	for _, w := range d.stages {
		if late {
			d.checkLost(w, at)
		}
		if w.lost != "" {
			if !w.reported && !at.Before(d.reportAt) {
				result.Lost[w.instance] = w.lost
				w.reported = true
			}
			continue
		}
		if late && at.Sub(w.lastProbe) >= probeInterval {
			w.lastProbe = at
			if w.unansweredSince.IsZero() {
				w.unansweredSince = at
			}
			result.Probe = append(result.Probe, w.instance)
		}
	}
	if d.reportAt.After(at) && d.reportAt.Before(result.Next) {
		result.Next = d.reportAt
	}
	return result
}

func (d *Detector) checkLost(w *watchedStage, at time.Time) {
	switch {
	case w.lost != "":
	case !w.unansweredSince.IsZero() && at.Sub(w.unansweredSince) >= d.opts.ProbeTimeout:
		w.lost = LossSilent
	case w.unansweredSince.IsZero() && !w.lastProbe.IsZero() && at.Sub(w.lastProgress) >= max(d.opts.StallTimeout, stallIterations*w.longestIteration):
		w.lost = LossEngineStalled
	}
}
