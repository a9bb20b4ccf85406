package pipeline

import "time"

// Detection configures the timeouts of a Detector. Zero fields have their defaults.
//
// Heartbeats every second with a timeout of three seconds cannot meet a recovery
// time of one second. The Detector therefore relies on the data path: a late
// token makes it probe the stages of that chain only.
type Detection struct {
	// FirstToken and Token are the times that the first and each further token may
	// take before the stages are probed.
	FirstToken, Token time.Duration
	// Probe is the time that the reply to a probe may take. Sidecars answer
	// probes themselves, so the engine's load does not delay the reply.
	Probe time.Duration
	// Engine is the time that an engine with a pending step may take without
	// finishing an iteration. Chunked prefill keeps iterations far shorter.
	Engine time.Duration
	// Settle delays the report of a closed connection, so that stages that fail
	// together are replaced together and need only one replay.
	Settle time.Duration
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

func (d Detection) withDefaults() Detection {
	orDefault := func(v *time.Duration, fallback time.Duration) {
		if *v <= 0 {
			*v = fallback
		}
	}
	orDefault(&d.FirstToken, defaultFirstTokenTimeout)
	orDefault(&d.Token, defaultTokenTimeout)
	orDefault(&d.Probe, defaultProbeTimeout)
	orDefault(&d.Engine, defaultStallTimeout)
	orDefault(&d.Settle, defaultSettleDelay)
	return d
}

// LossReason is the reason why a stage counts as lost.
type LossReason string

// Reasons for the loss of a stage.
const (
	LossClosed LossReason = "closed"
	LossSilent LossReason = "silent"
	LossEngine LossReason = "engine_stalled"
)

// ProbeReply is a sidecar's reply to a probe.
type ProbeReply struct {
	Instance string
	// Iterations is the number of iterations that the engine has finished.
	Iterations uint64
	// Pending is set if a step of the request is queued or running on the engine.
	Pending bool
	// Iteration is the duration of the engine's longest recent iteration. An
	// engine with long iterations has more time before it counts as stalled.
	Iteration time.Duration
}

// Detector decides which stages of a request's chain are lost. A stage that
// replies to probes and whose engine finishes iterations is busy, not lost, no
// matter how late the token is.
type Detector struct {
	opts   Detection
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
func NewDetector(chain Chain, opts Detection, at time.Time) *Detector {
	d := &Detector{opts: opts.withDefaults(), lastToken: at}
	d.tokenTimeout = d.opts.FirstToken
	for _, s := range chain.Stages {
		d.stages = append(d.stages, &watchedStage{instance: s.Instance, lastProgress: at})
	}
	return d
}

// Token records the arrival of a token of the current attempt, which shows that
// all stages have made progress.
func (d *Detector) Token(at time.Time) {
	d.lastToken = at
	d.tokenTimeout = d.opts.Token
	for _, w := range d.stages {
		w.unansweredSince, w.lastProgress = time.Time{}, at
	}
}

// Reply records the reply to a probe.
func (d *Detector) Reply(reply ProbeReply, at time.Time) {
	w := d.find(reply.Instance)
	if w == nil {
		return
	}
	w.unansweredSince = time.Time{}
	if !reply.Pending || reply.Iterations != w.iterations {
		w.lastProgress = at
	}
	w.iterations = reply.Iterations
	w.longestIteration = reply.Iteration
}

// Closed records that the connection to a stage was closed or refused.
func (d *Detector) Closed(instance string, at time.Time) {
	w := d.find(instance)
	if w == nil || w.lost != "" {
		return
	}
	w.lost = LossClosed
	if d.reportAt.IsZero() {
		d.reportAt = at.Add(d.opts.Settle)
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
	case !w.unansweredSince.IsZero() && at.Sub(w.unansweredSince) >= d.opts.Probe:
		w.lost = LossSilent
	case w.unansweredSince.IsZero() && !w.lastProbe.IsZero() && at.Sub(w.lastProgress) >= max(d.opts.Engine, stallIterations*w.longestIteration):
		w.lost = LossEngine
	}
}
