// Package plans runs a planner per model in an entry and proposes the placement
// plans on the log.
package plans

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/configlog"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/placement"
	"github.com/sapphirefield/sapphirefield/planner"
)

const (
	decideInterval = time.Second
	// startDelay lets a starting entry connect to the sidecars before it counts
	// engines as lost.
	startDelay = 3 * time.Second
	// minorityDelay is how long an entry that reaches fewer than half of the
	// plan's engines waits before it plans. It is more likely partitioned itself,
	// and the entries on the other side would revert its plans.
	minorityDelay  = 30 * time.Second
	proposeTimeout = 5 * time.Second
)

// Engine is a live engine that accepts orders.
type Engine struct {
	ID    string
	Model string
	// Version and Range are what the engine serves; Range is empty while it
	// serves nothing.
	Version string
	Range   placement.Range
}

// ConfigSource provides the configuration and the active plans, and appends plan
// proposals to the log. *configsync.Sync implements it.
type ConfigSource interface {
	Current() *configlog.Revision
	Plans() map[string]configlog.ActivePlan
	Changed() <-chan struct{}
	ProposePlan(ctx context.Context, model string, base int64, data []byte) error
}

// Options configures a Driver. All fields except Placement and
// ConnectedToAllEngines are required.
type Options struct {
	Source ConfigSource
	// Engines returns the live engines of all models that accept orders.
	Engines func() []Engine
	// ConnectedToAllEngines reports whether Engines returns all live engines of a
	// model that has the given number of configured engines; nil means always. If
	// it is false, this entry doesn't plan the model, because it would count
	// engines as lost that are not.
	ConnectedToAllEngines func(model string, configured int) bool
	Placement             placement.Options
	// Random spreads the proposals of entries. Only Run uses it.
	Random *rand.Rand
	Logger *log.Logger
}

// Driver plans all models.
type Driver struct {
	opts   Options
	models map[string]*modelPlanner
}

// modelPlanner is the driver's state for one model.
type modelPlanner struct {
	planner *planner.Planner
	rollout rollout
	// offset and current are the offset and the directive of the active plan.
	offset  int64
	current *planner.Directive
	// minoritySince is when the entry began to reach fewer than half of the
	// plan's engines, or zero.
	minoritySince time.Time
	// lastProblem is the last problem that was logged.
	lastProblem string
}

// New returns a driver. It is idle until Run is called.
func New(opts Options) *Driver {
	return &Driver{opts: opts, models: make(map[string]*modelPlanner)}
}

// Run plans every second and at each change of the configuration until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	started := time.Now()
	for {
		changed := d.opts.Source.Changed()
		if time.Since(started) >= startDelay {
			d.decide(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (d *Driver) decide(ctx context.Context) {
	revision := d.opts.Source.Current()
	if revision == nil {
		return
	}
	engines := d.opts.Engines()
	for i := range revision.Document.Models {
		d.decideModel(ctx, revision.Document, &revision.Document.Models[i], engines)
	}
}

func (d *Driver) decideModel(ctx context.Context, doc *config.Document, model *config.Model, engines []Engine) {
	in, configured := plannerInput(doc, model, engines)
	if len(in.Fleet.Engines) == 0 || d.opts.ConnectedToAllEngines != nil && !d.opts.ConnectedToAllEngines(model.Name, configured) {
		return
	}
	in.Options = d.opts.Placement
	m := d.plannerFor(model.Name)
	if err := m.updatePlan(d.opts.Source.Plans()[model.Name]); err != nil {
		d.reportProblem(m, logevent.PlanningFailed, model.Name, err.Error())
		return
	}
	now := time.Now()
	if m.inMinority(now, len(in.Fleet.Engines)) {
		return
	}
	next, blockedReason, err := m.nextDirective(now, in, model.ServingVersion)
	switch {
	case err != nil:
		d.reportProblem(m, logevent.PlanningFailed, model.Name, err.Error())
	case blockedReason != "":
		d.reportProblem(m, logevent.RolloutBlocked, model.Name, blockedReason)
	case next != nil:
		m.lastProblem = ""
		d.propose(ctx, model.Name, m, next)
	}
}

func (d *Driver) plannerFor(name string) *modelPlanner {
	m := d.models[name]
	if m == nil {
		random := rand.New(rand.NewPCG(d.opts.Random.Uint64(), d.opts.Random.Uint64()))
		m = &modelPlanner{planner: planner.New(random), rollout: rollout{random: random}}
		d.models[name] = m
	}
	return m
}

// reportProblem logs a problem unless it is the last one that was logged.
func (d *Driver) reportProblem(m *modelPlanner, event logevent.Event, model, problem string) {
	if m.lastProblem == problem {
		return
	}
	m.lastProblem = problem
	logevent.Write(d.opts.Logger, event).Str("model", model).Str("reason", problem).Msg("")
}

// propose drops a proposal that is superseded or that the log doesn't accept: the
// next decision starts from the plan that is active then.
func (d *Driver) propose(ctx context.Context, model string, m *modelPlanner, next *planner.Directive) {
	data, err := planner.Encode(next)
	if err != nil {
		d.reportProblem(m, logevent.PlanningFailed, model, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_ = d.opts.Source.ProposePlan(ctx, model, m.offset, data)
}

// updatePlan decodes the active plan if it has changed.
func (m *modelPlanner) updatePlan(plan configlog.ActivePlan) error {
	if plan.Offset == m.offset {
		return nil
	}
	if plan.Offset == 0 {
		// The model was removed and added again.
		m.offset, m.current = 0, nil
		return nil
	}
	directive, err := planner.Decode(plan.Data)
	if err != nil {
		return errors.Wrapf(err, "plan at offset %d", plan.Offset)
	}
	m.offset, m.current = plan.Offset, directive
	return nil
}

// inMinority reports whether the entry reaches fewer than half of the plan's
// engines and has done so for less than minorityDelay.
func (m *modelPlanner) inMinority(now time.Time, live int) bool {
	if m.current == nil || 2*live >= len(m.current.Wanted) {
		m.minoritySince = time.Time{}
		return false
	}
	if m.minoritySince.IsZero() {
		m.minoritySince = now
	}
	return now.Sub(m.minoritySince) < minorityDelay
}

// nextDirective returns the directive to propose, or why a rollout is blocked. A
// rollout waits until the plan's moves are done, so that only one of the two
// changes engines at a time.
func (m *modelPlanner) nextDirective(now time.Time, in planner.Input, servingVersion string) (next *planner.Directive, blockedReason string, err error) {
	in.Current, in.Version = m.current, servingVersion
	if m.current == nil {
		next, err = m.planner.Decide(now, in)
		return next, "", err
	}
	in.Version = m.current.Version
	next, err = m.planner.Decide(now, in)
	if err != nil {
		return nil, "", err
	}
	if next != nil {
		retainVersions(m.current, next)
		return next, "", nil
	}
	if len(m.current.Moves) > 0 {
		return nil, "", nil
	}
	next, blockedReason = m.rollout.nextStep(now, m.offset, in, servingVersion)
	return next, blockedReason, nil
}

// plannerInput returns the planner's input for a model's live engines, and the
// number of its configured engines.
func plannerInput(doc *config.Document, model *config.Model, engines []Engine) (planner.Input, int) {
	in := planner.Input{
		Model: placement.Model{
			Layers: model.Layers, BytesPerLayer: model.BytesPerLayer,
			ActivationBytes: model.ActivationBytes, KVBytesPerTokenLayer: model.KVBytesPerTokenLayer,
		},
		Adapters:       model.Adapters,
		LoadedLayers:   make(map[string]placement.Range),
		ServedVersions: make(map[string]string),
	}
	for _, l := range doc.Links {
		in.Fleet.Links = append(in.Fleet.Links, placement.Link{From: l.From, To: l.To, BytesPerSecond: l.BytesPerSecond})
	}
	live := make(map[string]Engine, len(engines))
	for _, e := range engines {
		if e.Model == model.Name {
			live[e.ID] = e
		}
	}
	configured := 0
	for _, server := range doc.Servers {
		if server.Model != model.Name {
			continue
		}
		configured++
		engine, isLive := live[server.ID]
		accelerator := slices.IndexFunc(doc.Accelerators, func(a config.Accelerator) bool { return a.Kind == server.Accelerator })
		if !isLive || accelerator < 0 {
			continue
		}
		in.Fleet.Engines = append(in.Fleet.Engines, placement.Engine{
			Name: server.ID, Zone: server.Zone, MemoryBytes: doc.Accelerators[accelerator].MemoryBytes,
			LayerTokensPerSecond: doc.Accelerators[accelerator].LayerTokensPerSecond,
		})
		if engine.Range.Limit > engine.Range.First {
			in.LoadedLayers[server.ID] = engine.Range
			in.ServedVersions[server.ID] = engine.Version
		}
	}
	return in, configured
}
