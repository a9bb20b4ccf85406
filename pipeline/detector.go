package pipeline

import "time"

// Detection says how fast a Detector decides. A zero value in a field means its default.
//
// Heartbeats once a second with three seconds of silence cannot meet a
// recovery time of one second. The Detector therefore starts from the data
// path: a token that is late makes it probe the stages of that chain only.
type Detection struct {
	// FirstToken and Token are how long a token may take before stages are probed.
	FirstToken, Token time.Duration
	// Probe is how long the answer to a probe may take. Sidecars answer
	// probes themselves, so the engine's load does not delay the answer.
	Probe time.Duration
	// Engine is how long an engine with a pending step may go without
	// finishing any iteration. Chunked prefill keeps iterations far shorter.
	Engine time.Duration
	// Settle is how long a closed connection is held back, so that stages
	// that fail together are replaced together and replayed once.
	Settle time.Duration
}

const (
	defaultFirstTokenTimeout = 300 * time.Millisecond
	defaultTokenTimeout      = 100 * time.Millisecond
	defaultProbeTimeout      = 150 * time.Millisecond
	defaultStallTimeout      = 350 * time.Millisecond
	defaultSettleDelay       = 5 * time.Millisecond
	// stallIterations is how many of its longest iterations an engine may take for one.
	stallIterations = 3
	// probeInterval is the time between probes of a stage.
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

// LossReason says why a stage counts as lost.
type LossReason string

// The reasons.
const (
	LossClosed LossReason = "closed"
	LossSilent LossReason = "silent"
	LossEngine LossReason = "engine_stalled"
)

// ProbeReply is a sidecar's answer to a probe.
type ProbeReply struct {
	Instance string
	// Iterations counts the engine's finished iterations.
	Iterations uint64
	// Pending tells whether a step of the request waits at or runs on the engine.
	Pending bool
	// Iteration is the time of the engine's longest recent iteration. An
	// engine whose iterations are long gets more time before it counts as stalled.
	Iteration time.Duration
}

// Detector decides for one request which stages of its chain are lost. A stage
// that answers probes and whose engine finishes iterations is busy, not lost,
// no matter how late the token is.
type Detector struct {
	opts   Detection
	stages []*watchedStage
	// lastToken is when the last token came or the chain was started.
	lastToken    time.Time
	tokenTimeout time.Duration
	// reportAt is when the stages that closed may be reported; zero if none closed.
	reportAt time.Time
}

type watchedStage struct {
	instance string
	lost     LossReason
	reported bool
	// unansweredSince is when the oldest unanswered probe was sent, probed when the last was.
	unansweredSince, lastProbe time.Time
	iterations                 uint64
	longestIteration           time.Duration
	// lastProgress is when the engine was last known to progress or to have no step pending.
	lastProgress time.Time
}

// NewDetector watches a chain from when its first step is sent.
func NewDetector(chain Chain, opts Detection, at time.Time) *Detector {
	d := &Detector{opts: opts.withDefaults(), lastToken: at}
	d.tokenTimeout = d.opts.FirstToken
	for _, s := range chain.Stages {
		d.stages = append(d.stages, &watchedStage{instance: s.Instance, lastProgress: at})
	}
	return d
}

// Token says that a token of the current attempt has come, so all stages have progressed.
func (d *Detector) Token(at time.Time) {
	d.lastToken = at
	d.tokenTimeout = d.opts.Token
	for _, w := range d.stages {
		w.unansweredSince, w.lastProgress = time.Time{}, at
	}
}

// Reply takes the answer to a probe.
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

// Closed says that the connection to a stage ended or was refused.
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

// Assessment is what Tick asks for.
type Assessment struct {
	// Probe are the instances to probe now.
	Probe []string
	// Lost are the stages found lost since the last Tick.
	Lost map[string]LossReason
	// Next is when to call Tick again if nothing is observed before.
	Next time.Time
}

// Tick returns the stages to probe and the stages that are lost.
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
