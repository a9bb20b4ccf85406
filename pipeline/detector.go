package pipeline

import "time"

// DetectorOptions says how fast a Detector decides. A zero value in a field means its default.
//
// Heartbeats once a second with three seconds of silence cannot meet a
// recovery time of one second. The Detector therefore starts from the data
// path: a token that is late makes it probe the stages of that chain only.
type DetectorOptions struct {
	// FirstTokenTimeout and Token are how long a token may take before stages are probed.
	FirstTokenTimeout, TokenTimeout time.Duration
	// ProbeTimeout is how long the answer to a probe may take. Sidecars answer
	// probes themselves, so the engine's load does not delay the answer.
	ProbeTimeout time.Duration
	// StallTimeout is how long an engine with a pending step may go without
	// finishing any iteration. Chunked prefill keeps iterations far shorter.
	StallTimeout time.Duration
	// SettleDelay is how long a closed connection is held back, so that stages
	// that fail together are replaced together and replayed once.
	SettleDelay time.Duration
}

const (
	defaultFirstTokenWait = 300 * time.Millisecond
	defaultTokenWait      = 100 * time.Millisecond
	defaultProbeWait      = 150 * time.Millisecond
	defaultEngineWait     = 350 * time.Millisecond
	defaultSettle         = 5 * time.Millisecond
	// longIterations is how many of its longest iterations an engine may take for one.
	longIterations = 3
	// probeEvery is the time between probes of a stage.
	probeEvery = 50 * time.Millisecond
)

func (d DetectorOptions) withDefaults() DetectorOptions {
	orDefault := func(v *time.Duration, standard time.Duration) {
		if *v <= 0 {
			*v = standard
		}
	}
	orDefault(&d.FirstTokenTimeout, defaultFirstTokenWait)
	orDefault(&d.TokenTimeout, defaultTokenWait)
	orDefault(&d.ProbeTimeout, defaultProbeWait)
	orDefault(&d.StallTimeout, defaultEngineWait)
	orDefault(&d.SettleDelay, defaultSettle)
	return d
}

// LossReason says why a stage counts as lost.
type LossReason string

// The reasons.
const (
	LossClosed        LossReason = "closed"
	LossSilent        LossReason = "silent"
	LossEngineStalled LossReason = "engine_stalled"
)

// ProbeReply is a sidecar's answer to a probe.
type ProbeReply struct {
	Instance string
	// Iterations counts the engine's finished iterations.
	Iterations uint64
	// Pending tells whether a step of the request waits at or runs on the engine.
	Pending bool
	// LongestIteration is the time of the engine's longest recent iteration. An
	// engine whose iterations are long gets more time before it counts as stalled.
	LongestIteration time.Duration
}

// Detector decides for one request which stages of its chain are lost. A stage
// that answers probes and whose engine finishes iterations is busy, not lost,
// no matter how late the token is.
type Detector struct {
	limits DetectorOptions
	stages []*watched
	// since is when the last token came or the chain was started.
	since time.Time
	wait  time.Duration
	// report is when the stages that closed may be reported; zero if none closed.
	report time.Time
}

type watched struct {
	instance string
	lost     LossReason
	reported bool
	// asked is when the oldest unanswered probe was sent, probed when the last was.
	asked, probed time.Time
	iterations    uint64
	iteration     time.Duration
	// moved is when the engine was last known to progress or to have no step pending.
	moved time.Time
}

// NewDetector watches a chain from when its first step is sent.
func NewDetector(chain Chain, limits DetectorOptions, at time.Time) *Detector {
	d := &Detector{limits: limits.withDefaults(), since: at}
	d.wait = d.limits.FirstTokenTimeout
	for _, s := range chain.Stages {
		d.stages = append(d.stages, &watched{instance: s.Instance, moved: at})
	}
	return d
}

// ObserveToken says that a token of the current attempt has come, so all stages have progressed.
func (d *Detector) ObserveToken(at time.Time) {
	d.since = at
	d.wait = d.limits.TokenTimeout
	for _, w := range d.stages {
		w.asked, w.moved = time.Time{}, at
	}
}

// ObserveReply takes the answer to a probe.
func (d *Detector) ObserveReply(reply ProbeReply, at time.Time) {
	w := d.find(reply.Instance)
	if w == nil {
		return
	}
	w.asked = time.Time{}
	if !reply.Pending || reply.Iterations != w.iterations {
		w.moved = at
	}
	w.iterations = reply.Iterations
	w.iteration = reply.LongestIteration
}

// ObserveClosed says that the connection to a stage ended or was refused.
func (d *Detector) ObserveClosed(instance string, at time.Time) {
	w := d.find(instance)
	if w == nil || w.lost != "" {
		return
	}
	w.lost = LossClosed
	if d.report.IsZero() {
		d.report = at.Add(d.limits.SettleDelay)
	}
}

func (d *Detector) find(instance string) *watched {
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
	f := Assessment{Lost: map[string]LossReason{}, Next: d.since.Add(d.wait)}
	late := !at.Before(f.Next)
	if late {
		f.Next = at.Add(probeEvery)
	}
	for _, w := range d.stages {
		if late {
			d.judge(w, at)
		}
		if w.lost != "" {
			if !w.reported && !at.Before(d.report) {
				f.Lost[w.instance] = w.lost
				w.reported = true
			}
			continue
		}
		if late && at.Sub(w.probed) >= probeEvery {
			w.probed = at
			if w.asked.IsZero() {
				w.asked = at
			}
			f.Probe = append(f.Probe, w.instance)
		}
	}
	if d.report.After(at) && d.report.Before(f.Next) {
		f.Next = d.report
	}
	return f
}

func (d *Detector) judge(w *watched, at time.Time) {
	switch {
	case w.lost != "":
	case !w.asked.IsZero() && at.Sub(w.asked) >= d.limits.ProbeTimeout:
		w.lost = LossSilent
	case w.asked.IsZero() && !w.probed.IsZero() && at.Sub(w.moved) >= max(d.limits.StallTimeout, longIterations*w.iteration):
		w.lost = LossEngineStalled
	}
}
