package relay

import (
	"context"
	"math"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/demand"
	"github.com/sapphirefield/sapphirefield/logevent"
)

const (
	// demandInterval is how often an entry decides how much room is kept.
	demandInterval = 100 * time.Millisecond
	// overShareFactor is the work in progress of a team, as a multiple of the mean of
	// the teams that have any, above which the team is over its share. Teams near the
	// mean merely fluctuate.
	overShareFactor = 1.5
)

// demandControl decides how much room streams leave to more urgent ones, of which
// other entries report. It concerns only models whose streams can have different
// ranks.
type demandControl struct {
	*Entry
	mu     sync.Mutex
	book   *demand.Book
	models map[string]*modelDemand
	// overShare holds the teams that are over their share while some work finds no
	// room.
	overShare atomic.Pointer[map[string]bool]
}

// modelDemand is this entry's demand for a model.
type modelDemand struct {
	keeper *admission.Keeper
	// started and refused measure tokens per second by urgency.
	started, refused map[int]*rateMeter
}

func newDemandControl(e *Entry) *demandControl {
	return &demandControl{Entry: e, book: demand.NewBook(), models: map[string]*modelDemand{}}
}

// run decides again and again how much room is kept.
func (d *demandControl) run(ctx context.Context) error {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			d.update(now)
		}
	}
}

func (d *demandControl) update(now time.Time) {
	rev := d.current.Load()
	if rev == nil {
		return
	}
	lacking := false
	for model := range rev.models {
		if rev.ranked(model) {
			lacking = d.updateModel(now, model) || lacking
		}
	}
	over := map[string]bool{}
	if lacking {
		over = d.fleet.teamsOverShare(now, rev.Document.Teams)
	}
	d.overShare.Store(&over)
}

// updateModel decides how much room is kept for a model, and reports whether some of
// its work found none.
func (d *demandControl) updateModel(now time.Time, model string) (lacking bool) {
	loads := d.loads(now, model)
	d.mu.Lock()
	m := d.model(model)
	totals := d.book.Totals(now, demand.IDOf(model), loads)
	changes := m.keeper.Update(now, totals)
	d.mu.Unlock()
	for _, c := range changes {
		d.logChange(model, c)
	}
	for _, t := range totals {
		lacking = lacking || t.Unserved > 0
		d.updateMetrics(model, t)
	}
	return lacking
}

// model returns the demand for a model. The caller holds the lock.
func (d *demandControl) model(name string) *modelDemand {
	m := d.models[name]
	if m == nil {
		m = &modelDemand{
			keeper: admission.NewKeeper(admission.DefaultKeepOptions()), started: map[int]*rateMeter{}, refused: map[int]*rateMeter{},
		}
		d.models[name] = m
	}
	return m
}

// loads returns this entry's own demand for a model.
func (d *demandControl) loads(now time.Time, model string) []demand.Load {
	byUrgency := map[int]demand.Load{}
	for _, l := range d.waitRoom(model).summary(d.urgencyOf) {
		byUrgency[l.Urgency] = l
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.model(model)
	for urgency, meter := range m.started {
		l := byUrgency[urgency]
		l.Started = meter.value(now)
		byUrgency[urgency] = l
	}
	for urgency, meter := range m.refused {
		l := byUrgency[urgency]
		l.Refused = meter.value(now)
		byUrgency[urgency] = l
	}
	loads := make([]demand.Load, 0, len(byUrgency))
	for urgency, l := range byUrgency {
		l.Urgency = urgency
		loads = append(loads, l)
	}
	return loads
}

// summary returns the work that waits, by urgency.
func (r *waitRoom) summary(urgencyOf func(rank int, team string) int) []demand.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Summary(urgencyOf)
}

// report returns this entry's demand for the others. It is empty unless the streams of
// a model can have different ranks.
func (d *demandControl) report(now time.Time) demand.Report {
	rev := d.current.Load()
	if rev == nil {
		return nil
	}
	report := demand.Report{}
	for model := range rev.models {
		if rev.ranked(model) {
			report[demand.IDOf(model)] = d.loads(now, model)
		}
	}
	return report.Bounded()
}

// observe takes another entry's report.
func (d *demandControl) observe(now time.Time, entry string, r demand.Report) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Observe(now, entry, r)
}

func (d *demandControl) urgencyOf(rank int, team string) int {
	over := d.overShare.Load()
	return demand.UrgencyOf(rank, over != nil && (*over)[team])
}

// keepFree returns the fraction of the room that a request leaves free.
func (d *demandControl) keepFree(model string, rank int, team string) float64 {
	urgency := d.urgencyOf(rank, team)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model(model).keeper.Fraction(urgency)
}

// record counts a stream that was started or refused, of a number of tokens.
func (d *demandControl) record(now time.Time, model string, urgency int, tokens float64, started bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	meters := d.model(model).refused
	if started {
		meters = d.model(model).started
	}
	if meters[urgency] == nil {
		meters[urgency] = &rateMeter{}
	}
	meters[urgency].add(now, tokens)
}

// keepFree returns the fraction of the room that the request leaves to more urgent ones.
func (q *request) keepFree() float64 {
	if !q.revision.ranked(q.target) {
		return 0
	}
	return q.demand.keepFree(q.target, q.rank, q.team)
}

// recordDemand counts a new stream that was started or found no room.
func (s *streamRequest) recordDemand(started bool) {
	if !s.revision.ranked(s.target) {
		return
	}
	req := s.pathRequest()
	s.demand.record(time.Now(), s.target, s.demand.urgencyOf(s.rank, s.team), req.PromptTokens+req.AnswerTokens, started)
}

func (d *demandControl) logChange(model string, c admission.KeepChange) {
	event := logevent.RoomKept
	if c.Fraction <= 0 {
		event = logevent.RoomReleased
	}
	logevent.Write(d.logger, event).Str("model", model).Str("urgency", urgencyName(c.Urgency)).Float64("fraction", c.Fraction).
		Float64("unserved_tokens", c.Unserved).Float64("started_tokens", c.Started).Int("entries", c.Entries).Msg("")
}

// urgencyName names an urgency in logs and metrics.
func urgencyName(urgency int) string {
	if urgency == math.MaxInt {
		return "others"
	}
	return strconv.Itoa(urgency)
}

func (d *demandControl) updateMetrics(model string, t demand.Total) {
	gauge := func(name string, value float64) {
		name = "relay.demand_" + name + "." + model + "." + urgencyName(t.Urgency)
		metrics.GetOrRegisterGaugeFloat64(name, d.requestMetrics.registry).Update(value)
	}
	d.mu.Lock()
	kept := d.model(model).keeper.Fraction(t.Urgency)
	d.mu.Unlock()
	gauge("kept", kept)
	gauge("unserved", t.Unserved)
	gauge("started", t.Started)
}

// teamsOverShare returns the teams whose work in progress over all entries, for their
// weight, is far above the mean of the teams that have any.
func (f *fleet) teamsOverShare(now time.Time, teams []config.Team) map[string]bool {
	levels := f.teamLevels(now, teams)
	sum := 0.0
	for _, level := range levels {
		sum += level
	}
	over := map[string]bool{}
	for team, level := range levels {
		if level*float64(len(levels)) > sum*overShareFactor {
			over[team] = true
		}
	}
	return over
}

// teamLevels returns the tokens in progress of each team that has any, for its weight.
func (f *fleet) teamLevels(now time.Time, teams []config.Team) map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	others := f.peers.totals(now)
	levels := map[string]float64{}
	for _, t := range teams {
		weight := t.Weight
		if weight <= 0 {
			weight = 1
		}
		id := teamID(t.Name)
		tokens := others[serverHash(id)].tokens
		if u := f.local[id]; u != nil {
			tokens += u.tokens
		}
		if tokens > 0 {
			levels[t.Name] = tokens / weight
		}
	}
	return levels
}
