package configlog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/finding"
)

// versionRules returns the rules of program version 1 or 2, with cheap
// validation.
func versionRules(version int) Rules {
	return Rules{Schema: version, Validate: func(doc *config.Document) (list finding.List) {
		if doc.Schema > version || slices.ContainsFunc(doc.Teams, func(t config.Team) bool { return t.Weight <= 0 }) {
			list.Add("teams", "refused")
		}
		return list
	}}
}

// process is a reader with the past values that the checks need.
type process struct {
	*Reader
	highestRevision int64
	checkpoints     [][]byte
}

// publication is a publisher with its reader and its record.
type publication struct {
	*Publisher
	reader *Reader
	record Record
}

// simulation runs one random history: processes and publishers on a faulty log.
// The oracle applies every record as soon as it is in the log.
type simulation struct {
	t                    *testing.T
	random               *rand.Rand
	events               map[string]int
	baseOffset           int64
	firstReadable        int64
	log                  []Entry
	logDown              bool
	oracle               *State
	expectedStates       map[int64][]byte
	delayedAppends       [][]byte
	processes            []*process
	activePublications   []*publication
	finishedPublications []*publication
	lastID               int
}

func newSimulation(t *testing.T, history uint64, events map[string]int) *simulation {
	sim := &simulation{t: t, random: rand.New(rand.NewPCG(*seed, history)), events: events, expectedStates: map[int64][]byte{}}
	sim.baseOffset = int64(sim.random.IntN(2))
	sim.firstReadable = sim.baseOffset
	sim.oracle = New(versionRules(2))
	sim.expectedStates[0] = sim.encode(sim.oracle)
	sim.expectedStates[sim.baseOffset] = sim.expectedStates[0]
	// Process 0 is never restarted and its next offset never expires, so that the
	// configuration cannot be lost permanently.
	sim.processes = []*process{{Reader: NewReader(versionRules(2))}}
	for range 3 {
		sim.processes = append(sim.processes, sim.freshProcess())
	}
	return sim
}

func (sim *simulation) chance(percent int) bool { return sim.random.IntN(100) < percent }

func (sim *simulation) freshProcess() *process {
	return &process{Reader: NewReader(versionRules(1 + sim.random.IntN(2)))}
}

func (sim *simulation) newID() string {
	sim.lastID++
	return fmt.Sprintf("id-%d", sim.lastID)
}

func (sim *simulation) encode(s *State) []byte {
	c := s.Checkpoint()
	c.Next = 0
	data, err := c.Encode()
	assert.NilError(sim.t, err)
	return data
}

func (sim *simulation) append(data []byte) {
	offset := sim.baseOffset + int64(len(sim.log))
	sim.log = append(sim.log, Entry{Offset: offset, Data: data})
	sim.oracle.Apply(offset, Decode(data, 2))
	sim.expectedStates[offset+1] = sim.encode(sim.oracle)
}

// read performs one read of the log for a reader.
func (sim *simulation) read(r *Reader) []ApplyResult {
	from := r.NextOffset()
	if from < sim.firstReadable && !(from == 0 && sim.firstReadable == 1 && sim.baseOffset == 1) {
		sim.events["expired read"]++
		if sim.chance(70) {
			r.OnExpired(sim.firstReadable)
		} else {
			r.OnExpired(0)
		}
		return nil
	}
	index := min(max(from-sim.baseOffset, 0), int64(len(sim.log)))
	end := min(index+1+int64(sim.random.IntN(6)), int64(len(sim.log)))
	return r.OnRecords(sim.firstReadable, sim.log[index:end])
}

// check compares a process with the oracle and with its own past values.
func (sim *simulation) check(p *process) {
	if s := p.State(); s != nil {
		assert.Assert(sim.t, bytes.Equal(sim.encode(s), sim.expectedStates[s.NextOffset()]), "state at offset %d differs from the oracle", s.NextOffset())
	}
	if p.ActiveRevision() == nil {
		assert.Equal(sim.t, p.highestRevision, int64(0))
		return
	}
	assert.Assert(sim.t, p.ActiveRevision().Number >= p.highestRevision, "the revision went back from %d to %d", p.highestRevision, p.ActiveRevision().Number)
	p.highestRevision = p.ActiveRevision().Number
	for _, ref := range sim.oracle.recent {
		if ref.Number == p.highestRevision {
			assert.Equal(sim.t, p.ActiveRevision().Digest, ref.Digest)
		}
	}
	assert.Assert(sim.t, !p.Conflict())
}

// checkReplacedState checks the new state of a process. As far as the process
// knows, no record after it may have expired, and it must not be behind the
// state that it replaces.
func (sim *simulation) checkReplacedState(p *process, before *State) {
	fromStart := p.state.next == 0 && p.firstReadable <= 1
	assert.Assert(sim.t, p.state.next >= p.firstReadable || fromStart, "restarted from offset %d, but records before %d have expired", p.state.next, p.firstReadable)
	if before != nil && before.next > p.state.next {
		sim.t.Fatalf("the state went back from offset %d to %d", before.next, p.state.next)
	}
}

func (sim *simulation) stepProcess(p *process) {
	before := p.state
	switch {
	case (p.NeedsPeers() || sim.chance(20)) && sim.chance(30):
		sim.fetchFromPeer(p)
	case !sim.logDown:
		sim.read(p.Reader)
	}
	if p.state != nil && p.state != before {
		sim.events["anchored"]++
		sim.checkReplacedState(p, before)
	}
	if _, newerSchema := p.NewerSchema(); newerSchema {
		sim.events["unjudged"]++
	}
	if s := p.State(); s != nil && s.Current() != nil && sim.chance(20) {
		data, err := s.Checkpoint().Encode()
		assert.NilError(sim.t, err)
		p.checkpoints = append(p.checkpoints, data)
	}
	sim.check(p)
}

// fetchFromPeer passes a process a checkpoint of another one, often an old one
// and sometimes a damaged one.
func (sim *simulation) fetchFromPeer(p *process) {
	peer := sim.processes[sim.random.IntN(len(sim.processes))]
	if peer == p || len(peer.checkpoints) == 0 {
		return
	}
	data := peer.checkpoints[sim.random.IntN(len(peer.checkpoints))]
	if sim.chance(20) {
		damaged := bytes.Replace(data, []byte(`"weight":`), []byte(`"weight":9`), 1)
		before := p.ActiveRevision()
		_ = p.OnPeer(damaged)
		assert.Assert(sim.t, bytes.Equal(damaged, data) || p.ActiveRevision() == before, "a peer's damaged checkpoint was accepted")
		sim.events["damaged peer"]++
		return
	}
	if p.OnPeer(data) == nil && sim.logDown && p.highestRevision == 0 {
		sim.events["fresh process in an outage"]++
	}
}

// propose starts a publisher from the current state of a process.
func (sim *simulation) propose() {
	p := sim.processes[sim.random.IntN(len(sim.processes))]
	s := p.State()
	if s == nil {
		return
	}
	reader := *p.Reader
	reader.state = new(*s)
	reader.state.plans = s.Plans()
	reader.state.recent = s.Recent()
	doc := &config.Document{Schema: 1, Models: []config.Model{{Name: "m"}}}
	if s.Current() != nil {
		doc = s.Current().Document.Canonical()
	}
	doc.Teams = append(doc.Teams, config.Team{Name: fmt.Sprintf("t-%d", sim.random.IntN(5)), Weight: 1})
	doc.Teams = slices.CompactFunc(doc.Canonical().Teams, func(a, b config.Team) bool { return a.Name == b.Name })
	doc.Teams[sim.random.IntN(len(doc.Teams))].Weight = float64(sim.random.IntN(50)) - 3
	if p.rules.Schema == 2 && sim.chance(8) {
		doc.Schema = 3 - doc.Schema
	}
	record, err := NewRevision(sim.newID(), s.Current(), doc)
	if err == nil {
		sim.activePublications = append(sim.activePublications, &publication{NewPublisher(record, reader.state), &reader, record})
	}
}

func (sim *simulation) stepPublisher(p *publication) {
	switch {
	case sim.chance(2):
		p.OnDeadline()
	case p.Step() == StepAppend:
		sim.stepAppend(p)
	case p.Step() == StepRead && !sim.logDown:
		state := p.reader.State()
		for _, result := range sim.read(p.reader) {
			p.OnApplied(result)
		}
		if p.reader.State() != state {
			p.OnStateReplaced(p.reader.State())
		}
		if p.reader.CaughtUp() {
			p.OnCaughtUp()
		}
	}
	if p.Step() == StepDone {
		result, _, _ := p.Result()
		sim.events["publisher: "+result.String()]++
		sim.finishedPublications = append(sim.finishedPublications, p)
		sim.activePublications = slices.DeleteFunc(sim.activePublications, func(other *publication) bool { return other == p })
	}
}

func (sim *simulation) stepAppend(p *publication) {
	data, err := p.record.Encode()
	assert.NilError(sim.t, err)
	roll := sim.random.IntN(100)
	switch {
	case sim.logDown && roll < 50, roll < 5:
		p.OnAppendFailed()
	case sim.logDown && roll < 70, roll < 10:
		sim.delayedAppends = append(sim.delayedAppends, data)
		p.OnAppendUnconfirmed()
	case sim.logDown, roll < 15:
		p.OnAppendUnconfirmed()
	case roll < 30:
		sim.append(data)
		sim.events["lost answer"]++
		p.OnAppendUnconfirmed()
	case roll < 35:
		sim.append(data)
		sim.append(data)
		p.OnAppendSucceeded()
	default:
		sim.append(data)
		p.OnAppendSucceeded()
	}
}

// captureDelayedAppend prepares a checkpoint or a plan that a paused process
// appends later.
func (sim *simulation) captureDelayedAppend() {
	p := sim.processes[sim.random.IntN(len(sim.processes))]
	s := p.State()
	if s == nil {
		return
	}
	record := NewCheckpoint(sim.newID(), s)
	if sim.chance(50) {
		plan, _ := s.Plan("m")
		record = NewPlan(sim.newID(), PlanProposal{Model: "m", Base: plan.Offset, Revision: s.Number(), Data: []byte(`{}`)})
	}
	data, err := record.Encode()
	assert.NilError(sim.t, err)
	sim.delayedAppends = append(sim.delayedAppends, data)
}

func (sim *simulation) performDelayedAppend() {
	if sim.logDown || len(sim.delayedAppends) == 0 {
		return
	}
	i := sim.random.IntN(len(sim.delayedAppends))
	sim.append(sim.delayedAppends[i])
	sim.delayedAppends = slices.Delete(sim.delayedAppends, i, i+1)
}

func (sim *simulation) step() {
	switch roll := sim.random.IntN(100); {
	case roll < 50:
		sim.stepProcess(sim.processes[sim.random.IntN(len(sim.processes))])
	case roll < 72 && len(sim.activePublications) > 0:
		sim.stepPublisher(sim.activePublications[sim.random.IntN(len(sim.activePublications))])
	case roll < 78:
		sim.propose()
	case roll < 83:
		sim.captureDelayedAppend()
	case roll < 90:
		sim.performDelayedAppend()
	case roll < 94:
		sim.logDown = sim.chance(40)
	case roll < 97:
		sim.processes[1+sim.random.IntN(len(sim.processes)-1)] = sim.freshProcess()
	case sim.processes[0].Following():
		sim.firstReadable = max(sim.firstReadable, min(sim.processes[0].NextOffset(), sim.firstReadable+int64(sim.random.IntN(12))))
	}
}

func (sim *simulation) caughtUp(p *process) bool {
	return p.CaughtUp() && (p.NextOffset() == sim.baseOffset+int64(len(sim.log)) || len(sim.log) == 0)
}

// catchUp reads to the end of the log. A process that has no state may give up
// if it reports a newer schema.
func (sim *simulation) catchUp(p *process) {
	for n := 0; !sim.caughtUp(p); n++ {
		if _, newerSchema := p.NewerSchema(); newerSchema && n > 500 {
			return
		}
		assert.Assert(sim.t, n < 1000, "a process did not catch up")
		sim.read(p.Reader)
	}
}

// quiesce ends the faults, completes pending work and lets all processes catch
// up.
func (sim *simulation) quiesce() {
	sim.logDown = false
	for len(sim.activePublications) > 0 {
		sim.stepPublisher(sim.activePublications[0])
	}
	for len(sim.delayedAppends) > 0 {
		sim.performDelayedAppend()
	}
	sim.catchUp(sim.processes[0])
	data, err := NewCheckpoint(sim.newID(), sim.processes[0].State()).Encode()
	assert.NilError(sim.t, err)
	sim.append(data)
	for _, p := range sim.processes {
		sim.catchUp(p)
		sim.check(p)
	}
}

// checkFinalState compares the processes with the oracle, and the results of the
// publishers with the revisions that were accepted.
func (sim *simulation) checkFinalState(accepted map[string]int64) {
	for _, p := range sim.processes {
		if _, newerSchema := p.NewerSchema(); newerSchema {
			continue
		}
		assert.Equal(sim.t, string(sim.encode(p.State())), string(sim.encode(sim.oracle)))
		if sim.oracle.Current() != nil {
			assert.Equal(sim.t, p.ActiveRevision().Number, sim.oracle.Number())
		}
	}
	for _, p := range sim.finishedPublications {
		result, number, _ := p.Result()
		_, tookEffect := accepted[p.record.ID]
		switch result {
		case ResultAccepted:
			assert.Assert(sim.t, tookEffect, "reported accepted, but never took effect")
			assert.Assert(sim.t, number >= accepted[p.record.ID])
		case ResultSuperseded, ResultInvalid, ResultNotSent:
			assert.Assert(sim.t, !tookEffect, "reported %v, but took effect", result)
		}
	}
}

func (sim *simulation) run() {
	for range 120 {
		sim.step()
	}
	sim.quiesce()
	accepted := map[string]int64{}
	replayed := New(versionRules(2))
	for _, e := range sim.log {
		record := Decode(e.Data, 2)
		if replayed.Apply(e.Offset, record) == Accepted && record.Kind == KindRevision {
			assert.Assert(sim.t, accepted[record.ID] == 0, "a record was accepted twice")
			accepted[record.ID] = replayed.Number()
			sim.events["revisions"]++
		}
	}
	sim.checkFinalState(accepted)
}

func runHistory(t *testing.T, history int, events map[string]int) {
	defer func() {
		if t.Failed() {
			t.Logf("failed in history %d of seed %d", history, *seed)
		}
	}()
	newSimulation(t, uint64(history), events).run()
}

// Readers must agree at equal offsets, revisions must never go back, accepted
// revisions must not be lost, and publishers must report the true result. The
// random histories have concurrent publishers, lost replies, delayed appends,
// duplicates, outages, expired records, late checkpoints, two program versions,
// restarted processes and stale peers.
func TestRandomHistories(t *testing.T) {
	events := map[string]int{}
	for history := range *histories {
		runHistory(t, history, events)
	}
	t.Log(events)
	for _, event := range []string{
		"expired read", "anchored", "unjudged", "damaged peer", "fresh process in an outage", "lost answer", "revisions",
		"publisher: accepted", "publisher: overtaken", "publisher: invalid", "publisher: not sent", "publisher: unknown",
	} {
		assert.Assert(t, events[event] > 0, "no history had the event %q", event)
	}
}
