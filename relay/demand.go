package relay

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/sapphirefield/sapphirefield/admission"
	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/demand"
	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

const (
	// demandInterval is how often an entry decides how much room is kept.
	demandInterval = 100 * time.Millisecond
	// ordinaryWaitFraction is the fraction of its longest wait up to which a stream does
	// not count as lacking room: most of those that wait for less start in time.
	ordinaryWaitFraction = 0.5
	// shareInterval is how often the teams over their share are determined: it takes
	// time for each team.
	shareInterval = time.Second
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
	// sharesAt is when overShare was determined.
	sharesAt time.Time
}

// modelDemand is this entry's demand for a model.
type modelDemand struct {
	room, retries *admission.Keeper
	// meters measure tokens per second by urgency.
	meters map[int]*demandMeter
	// published are the urgencies of which gauges exist.
	published map[int]bool
}

type demandMeter struct {
	started, refused, denied rateMeter
}

// loads returns what is measured, together with the loads that wait.
func (m *modelDemand) loads(now time.Time, waiting []demand.Load) []demand.Load {
	byUrgency := map[int]demand.Load{}
	for _, l := range waiting {
		byUrgency[l.Urgency] = l
	}
	for urgency, meter := range m.meters {
		l := byUrgency[urgency]
		l.Urgency, l.Started, l.Refused, l.Denied = urgency, meter.started.value(now), meter.refused.value(now), meter.denied.value(now)
		byUrgency[urgency] = l
	}
	return slices.Collect(maps.Values(byUrgency))
}

// streamOutcome tells what became of a new stream.
type streamOutcome int

const (
	// begun means that its answer has begun, noPath that it found no path in time, and
	// noRetry that engines refused it and there was no retry left for it.
	begun streamOutcome = iota
	noPath
	noRetry
)

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
	d.updateShares(now, rev, lacking)
}

// updateShares finds the teams over their share while some work lacks room or retries.
func (d *demandControl) updateShares(now time.Time, rev *revision, lacking bool) {
	if lacking && now.Sub(d.sharesAt) < shareInterval {
		return
	}
	over := map[string]bool{}
	d.sharesAt = time.Time{}
	if lacking {
		over, d.sharesAt = d.fleet.teamsOverShare(now, rev.Document.Teams), now
	}
	d.overShare.Store(&over)
}

// updateModel decides how much is kept for a model, and reports whether some of its work
// lacked room or retries.
func (d *demandControl) updateModel(now time.Time, model string) (lacking bool) {
	loads := d.loads(now, model)
	d.mu.Lock()
	m, id := d.model(model), demand.IDOf(model)
	room, retries := d.book.Totals(now, id, demand.Room, loads), d.book.Totals(now, id, demand.Retries, loads)
	roomChange, retryChange := m.room.Update(now, room), m.retries.Update(now, retries)
	d.mu.Unlock()
	d.logChange(model, "room", roomChange)
	d.logChange(model, "retries", retryChange)
	for _, t := range d.goneUrgencies(model, room) {
		d.updateMetrics(model, t, 0)
	}
	for i, t := range room {
		lacking = lacking || t.Unserved > 0 || retries[i].Unserved > 0
		d.updateMetrics(model, t, retries[i].Unserved)
	}
	return lacking
}

// goneUrgencies returns an empty total for each urgency that had gauges before and
// is not among the totals.
func (d *demandControl) goneUrgencies(model string, totals []demand.Total) (gone []demand.Total) {
	d.mu.Lock()
	defer d.mu.Unlock()
	published := d.model(model).published
	for urgency := range published {
		if !slices.ContainsFunc(totals, func(t demand.Total) bool { return t.Urgency == urgency }) {
			gone = append(gone, demand.Total{Urgency: urgency})
			delete(published, urgency)
		}
	}
	for _, t := range totals {
		published[t.Urgency] = true
	}
	return gone
}

// model returns the demand for a model. The caller holds the lock.
func (d *demandControl) model(name string) *modelDemand {
	m := d.models[name]
	if m == nil {
		m = &modelDemand{
			room: admission.NewKeeper(admission.DefaultKeepOptions()), retries: admission.NewKeeper(admission.RetryKeepOptions()),
			meters: map[int]*demandMeter{}, published: map[int]bool{},
		}
		d.models[name] = m
	}
	return m
}

// loads returns this entry's own demand.
func (d *demandControl) loads(now time.Time, model string) []demand.Load {
	waiting := d.waitRoom(model).summary(now, d.urgencyOf)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.model(model).loads(now, waiting)
}

// summary returns the work that waits for room, by urgency.
func (r *waitRoom) summary(now time.Time, urgencyOf func(rank int, team string) int) []demand.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.queue.Summary(func(w *admission.Waiting) (int, bool) {
		lacking := now.Sub(w.Arrived) > time.Duration(ordinaryWaitFraction*float64(w.StartBy().Sub(w.Arrived)))
		return urgencyOf(w.Rank, w.Team), lacking && !r.waiters[w.ID].unservable
	})
}

// servable reports whether a path would have room for a request if nothing else ran.
func (f *fleet) servable(now time.Time, rev *revision, model string, r pipeline.RelayRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	engines, links := f.engines(now, rev, model), f.links(now, rev)
	for i := range engines {
		e := &engines[i]
		e.Used, e.Running, e.Context, e.UsedSlots, e.PromptLoad, e.PromptQueue = 0, 0, 0, 0, 0, 0
	}
	for zones, link := range links {
		link.Load, link.Queue = 0, 0
		links[zones] = link
	}
	finder := rev.finders[model]
	if finder == nil {
		return false
	}
	r.KeepFree = 0
	_, _, err := finder.Find(engines, links, r)
	return err == nil
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

// kept returns the fractions of the room and of the retries that a request leaves free.
func (d *demandControl) kept(model string, urgency int) (room, retries float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.model(model)
	return m.room.Fraction(urgency), m.retries.Fraction(urgency)
}

// record counts a stream of a number of tokens.
func (d *demandControl) record(now time.Time, model string, urgency int, tokens float64, outcome streamOutcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m := d.model(model)
	if m.meters[urgency] == nil {
		m.meters[urgency] = &demandMeter{}
	}
	meter := m.meters[urgency]
	switch outcome {
	case begun:
		meter.started.add(now, tokens)
	case noPath:
		meter.refused.add(now, tokens)
	case noRetry:
		meter.denied.add(now, tokens)
	}
}

func (q *request) urgency() int { return q.demand.urgencyOf(q.rank, q.team) }

// keepFree returns the fraction of the room that the request leaves to more urgent ones.
func (q *request) keepFree() float64 {
	if !q.revision.ranked(q.target) {
		return 0
	}
	room, _ := q.demand.kept(q.target, q.urgency())
	return room
}

// recordDemand counts what became of a new stream.
func (s *streamRequest) recordDemand(outcome streamOutcome) {
	if s.revision.ranked(s.target) {
		req := s.pathRequest()
		s.demand.record(time.Now(), s.target, s.urgency(), req.PromptTokens+req.AnswerTokens, outcome)
	}
}

// checkServable finds out once, for a stream that waits, whether room would help it.
func (s *streamRequest) checkServable(now time.Time, w *pathWaiter, req pipeline.RelayRequest) {
	if s.revision.ranked(s.target) && !w.checked {
		w.checked, w.unservable = true, !s.fleet.servable(now, s.revision, s.target, req)
	}
}

// recordNoPath counts a new stream that found no path, unless no room would have helped.
func (s *streamRequest) recordNoPath() {
	if !s.headerSent && s.revision.ranked(s.target) && s.fleet.servable(time.Now(), s.revision, s.target, s.pathRequest()) {
		s.recordDemand(noPath)
	}
}

// takeRetry takes a retry from the budget. A stream that has not begun leaves some to
// more urgent ones.
func (q *request) takeRetry() bool {
	budget, now := q.budget(q.target), time.Now()
	if !q.firstByte.IsZero() || !q.revision.ranked(q.target) {
		return budget.Take(now, false)
	}
	_, kept := q.demand.kept(q.target, q.urgency())
	if budget.TakeLeaving(now, kept) {
		return true
	}
	stream := &streamRequest{request: q}
	stream.recordDemand(noRetry)
	return false
}

func (d *demandControl) logChange(model, kept string, c *admission.KeepChange) {
	if c == nil {
		return
	}
	event := logevent.RoomKept
	if c.Fraction <= 0 {
		event = logevent.RoomReleased
	}
	logevent.Write(d.logger, event).Str("model", model).Str("kept", kept).Str("urgency", urgencyName(c.Urgency)).
		Float64("fraction", c.Fraction).Float64("unserved", c.Unserved).Float64("started", c.Started).Int("entries", c.Entries).Msg("")
}

// urgencyName names an urgency in logs and metrics.
func urgencyName(urgency int) string {
	if urgency == math.MaxInt {
		return "others"
	}
	return strconv.Itoa(urgency)
}

func (d *demandControl) updateMetrics(model string, t demand.Total, denied float64) {
	gauge := func(name string, value float64) {
		name = "relay.demand_" + name + "." + model + "." + urgencyName(t.Urgency)
		metrics.GetOrRegisterGaugeFloat64(name, d.requestMetrics.registry).Update(value)
	}
	room, retries := d.kept(model, t.Urgency)
	gauge("room_kept", room)
	gauge("retries_kept", retries)
	gauge("unserved", t.Unserved)
	gauge("denied", denied)
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
	levels := map[string]float64{}
	for _, t := range teams {
		weight := t.Weight
		if weight <= 0 {
			weight = 1
		}
		if tokens := f.inProgress(now, teamID(t.Name)).tokens; tokens > 0 {
			levels[t.Name] = tokens / weight
		}
	}
	return levels
}
