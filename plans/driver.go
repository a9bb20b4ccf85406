// Package plans runs the planner of each model in an entry and proposes its
// placement plans on the log.
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
	// startDelay lets a fresh entry connect to the sidecars before it takes one
	// for lost.
	startDelay = 3 * time.Second
	// minorityAfter is how long an entry that reaches fewer than half of the
	// plan's engines waits. It is more likely to be cut off itself, and the
	// entries on the other side would undo its plans.
	minorityAfter = 30 * time.Second
	proposeLimit  = 5 * time.Second
)

// Engine is an engine that is known as live and takes orders.
type Engine struct {
	ID    string
	Model string
	// Version and Range are what the engine serves; Range is empty while it serves nothing.
	Version string
	Range   placement.Range
}

// ConfigSource is the configuration and the log. *configsync.Sync implements it.
type ConfigSource interface {
	Current() *configlog.Revision
	Plans() map[string]configlog.ActivePlan
	Changed() <-chan struct{}
	ProposePlan(ctx context.Context, model string, base int64, data []byte) error
}

// Options describe a Driver. All members but Placement and ConnectedToAllEngines are required.
type Options struct {
	Source ConfigSource
	// Engines returns the live engines of all models that take orders.
	Engines func() []Engine
	// ConnectedToAllEngines tells whether Engines names all live engines of a model with a
	// number of configured ones; nil means always. Otherwise this entry makes no
	// plans for the model, because it would take engines for lost.
	ConnectedToAllEngines func(model string, configured int) bool
	Placement             placement.Options
	// Random spreads the proposals of entries. Only Run uses it.
	Random *rand.Rand
	Logger *log.Logger
}

// Driver decides about the plans of all models.
type Driver struct {
	opts   Options
	models map[string]*modelPlanner
}

// modelPlanner is what the driver keeps of one model.
type modelPlanner struct {
	planner *planner.Planner
	rollout rollout
	// offset and current are the plan in force in both forms.
	offset  int64
	current *planner.Directive
	// minoritySince is when the entry began to reach too few engines.
	minoritySince time.Time
	// problem is the last one that was written to the log.
	problem string
}

// New returns a driver, which does nothing until Run.
func New(opts Options) *Driver {
	return &Driver{opts: opts, models: make(map[string]*modelPlanner)}
}

// Run decides every second and at each change of the configuration until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	began := time.Now()
	for {
		changed := d.opts.Source.Changed()
		if time.Since(began) >= startDelay {
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
	in, configured := input(doc, model, engines)
	if len(in.Fleet.Engines) == 0 || d.opts.ConnectedToAllEngines != nil && !d.opts.ConnectedToAllEngines(model.Name, configured) {
		return
	}
	in.Options = d.opts.Placement
	m := d.model(model.Name)
	if err := m.follow(d.opts.Source.Plans()[model.Name]); err != nil {
		d.report(m, logevent.PlanningFailed, model.Name, err.Error())
		return
	}
	now := time.Now()
	if m.inMinority(now, len(in.Fleet.Engines)) {
		return
	}
	next, blocked, err := m.next(now, in, model.ServingVersion)
	switch {
	case err != nil:
		d.report(m, logevent.PlanningFailed, model.Name, err.Error())
	case blocked != "":
		d.report(m, logevent.RolloutBlocked, model.Name, blocked)
	case next != nil:
		m.problem = ""
		d.propose(ctx, model.Name, m, next)
	}
}

func (d *Driver) model(name string) *modelPlanner {
	m := d.models[name]
	if m == nil {
		random := rand.New(rand.NewPCG(d.opts.Random.Uint64(), d.opts.Random.Uint64()))
		m = &modelPlanner{planner: planner.New(random), rollout: rollout{random: random}}
		d.models[name] = m
	}
	return m
}

// report writes a problem once until another one takes its place.
func (d *Driver) report(m *modelPlanner, event logevent.Event, model, problem string) {
	if m.problem == problem {
		return
	}
	m.problem = problem
	logevent.Write(d.opts.Logger, event).Str("model", model).Str("reason", problem).Msg("")
}

// propose drops a proposal that was overtaken or that the log did not take: the
// next decision starts from what is then in force.
func (d *Driver) propose(ctx context.Context, model string, m *modelPlanner, next *planner.Directive) {
	data, err := planner.Encode(next)
	if err != nil {
		d.report(m, logevent.PlanningFailed, model, err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	_ = d.opts.Source.ProposePlan(ctx, model, m.offset, data)
}

// follow decodes the plan in force when it has changed.
func (m *modelPlanner) follow(plan configlog.ActivePlan) error {
	if plan.Offset == m.offset {
		return nil
	}
	if plan.Offset == 0 {
		// The model was removed and is back.
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

func (m *modelPlanner) inMinority(now time.Time, live int) bool {
	if m.current == nil || 2*live >= len(m.current.Wanted) {
		m.minoritySince = time.Time{}
		return false
	}
	if m.minoritySince.IsZero() {
		m.minoritySince = now
	}
	return now.Sub(m.minoritySince) < minorityAfter
}

// next returns the directive to propose, or why a rollout cannot go on. A
// rollout waits until the plan's moves are done, so that only one of the two
// changes engines at a time.
func (m *modelPlanner) next(now time.Time, in planner.Input, serving string) (next *planner.Directive, blocked string, err error) {
	in.Current, in.Version = m.current, serving
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
	next, blocked = m.rollout.next(now, m.offset, in, serving)
	return next, blocked, nil
}

// input describes a model's live engines and counts its configured ones.
func input(doc *config.Document, model *config.Model, engines []Engine) (planner.Input, int) {
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
		kind := slices.IndexFunc(doc.Accelerators, func(a config.Accelerator) bool { return a.Kind == server.Accelerator })
		if !isLive || kind < 0 {
			continue
		}
		in.Fleet.Engines = append(in.Fleet.Engines, placement.Engine{
			Name: server.ID, Zone: server.Zone, MemoryBytes: doc.Accelerators[kind].MemoryBytes,
			LayerTokensPerSecond: doc.Accelerators[kind].LayerTokensPerSecond,
		})
		if engine.Range.Limit > engine.Range.First {
			in.LoadedLayers[server.ID] = engine.Range
			in.ServedVersions[server.ID] = engine.Version
		}
	}
	return in, configured
}
