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

// versionRules are the rules of program version 1 or 2, with cheap validation.
func versionRules(version int) Rules {
	return Rules{Schema: version, Validate: func(doc *config.Document) (list finding.List) {
		if doc.Schema > version || slices.ContainsFunc(doc.Teams, func(t config.Team) bool { return t.Weight <= 0 }) {
			list.Add("teams", "refused")
		}
		return list
	}}
}

// process is a reader with what the checks need to know about its past.
type process struct {
	*Reader
	highest int64
	served  [][]byte
}

// publishing is a publisher in the midst of its work.
type publishing struct {
	*Publisher
	reader *Reader
	record Record
}

// world is one history: a log with its faults, processes, and the oracle, which
// folds every record as soon as it is in the log.
type world struct {
	t         *testing.T
	random    *rand.Rand
	seen      map[string]int
	base      int64
	first     int64
	log       []Entry
	down      bool
	oracle    *State
	prefixes  map[int64][]byte
	inFlight  [][]byte
	processes []*process
	active    []*publishing
	finished  []*publishing
	ids       int
}

func newWorld(t *testing.T, history uint64, seen map[string]int) *world {
	w := &world{t: t, random: rand.New(rand.NewPCG(*seed, history)), seen: seen, prefixes: map[int64][]byte{}}
	w.base = int64(w.random.IntN(2))
	w.first = w.base
	w.oracle = New(versionRules(2))
	w.prefixes[0] = w.encode(w.oracle)
	w.prefixes[w.base] = w.prefixes[0]
	// Process 0 is never replaced and its place never expires, so that the
	// configuration cannot be lost for good.
	w.processes = []*process{{Reader: NewReader(versionRules(2))}}
	for range 3 {
		w.processes = append(w.processes, w.freshProcess())
	}
	return w
}

func (w *world) chance(percent int) bool { return w.random.IntN(100) < percent }

func (w *world) freshProcess() *process {
	return &process{Reader: NewReader(versionRules(1 + w.random.IntN(2)))}
}

func (w *world) id() string {
	w.ids++
	return fmt.Sprintf("id-%d", w.ids)
}

func (w *world) encode(s *State) []byte {
	c := s.Checkpoint()
	c.Next = 0
	data, err := c.Encode()
	assert.NilError(w.t, err)
	return data
}

func (w *world) append(data []byte) {
	offset := w.base + int64(len(w.log))
	w.log = append(w.log, Entry{Offset: offset, Data: data})
	w.oracle.Apply(offset, Decode(data, 2))
	w.prefixes[offset+1] = w.encode(w.oracle)
}

// read performs one read of a reader against the log.
func (w *world) read(r *Reader) []ApplyResult {
	from := r.NextOffset()
	if from < w.first && !(from == 0 && w.first == 1 && w.base == 1) {
		w.seen["expired read"]++
		if w.chance(70) {
			r.OnExpired(w.first)
		} else {
			r.OnExpired(0)
		}
		return nil
	}
	index := min(max(from-w.base, 0), int64(len(w.log)))
	end := min(index+1+int64(w.random.IntN(6)), int64(len(w.log)))
	return r.OnRecords(w.first, w.log[index:end])
}

// check compares a process with the oracle and with its own past.
func (w *world) check(p *process) {
	if s := p.State(); s != nil {
		assert.Assert(w.t, bytes.Equal(w.encode(s), w.prefixes[s.NextOffset()]), "state at offset %d differs from the oracle", s.NextOffset())
	}
	if p.ActiveRevision() == nil {
		assert.Equal(w.t, p.highest, int64(0))
		return
	}
	assert.Assert(w.t, p.ActiveRevision().Number >= p.highest, "revision went back from %d to %d", p.highest, p.ActiveRevision().Number)
	p.highest = p.ActiveRevision().Number
	for _, a := range w.oracle.recent {
		if a.Number == p.highest {
			assert.Equal(w.t, p.ActiveRevision().Digest, a.Digest)
		}
	}
	assert.Assert(w.t, !p.Conflict())
}

// checkAnchor checks a state that a process has just taken up: nothing after it
// may have expired as far as the process knows, and it must lead further than
// the state it replaces.
func (w *world) checkAnchor(p *process, before *State) {
	genesis := p.state.next == 0 && p.first <= 1
	assert.Assert(w.t, p.state.next >= p.first || genesis, "anchored at offset %d, but records before %d have expired", p.state.next, p.first)
	if before != nil && before.next > p.state.next {
		w.t.Fatalf("the state went back from offset %d to %d", before.next, p.state.next)
	}
}

func (w *world) stepProcess(p *process) {
	before := p.state
	switch {
	case (p.NeedsPeers() || w.chance(20)) && w.chance(30):
		w.askPeer(p)
	case !w.down:
		w.read(p.Reader)
	}
	if p.state != nil && p.state != before {
		w.seen["anchored"]++
		w.checkAnchor(p, before)
	}
	if _, unjudged := p.NewerSchema(); unjudged {
		w.seen["unjudged"]++
	}
	if s := p.State(); s != nil && s.Current() != nil && w.chance(20) {
		data, err := s.Checkpoint().Encode()
		assert.NilError(w.t, err)
		p.served = append(p.served, data)
	}
	w.check(p)
}

// askPeer takes the state of another process, often an old one, sometimes damaged.
func (w *world) askPeer(p *process) {
	peer := w.processes[w.random.IntN(len(w.processes))]
	if peer == p || len(peer.served) == 0 {
		return
	}
	data := peer.served[w.random.IntN(len(peer.served))]
	if w.chance(20) {
		damaged := bytes.Replace(data, []byte(`"weight":`), []byte(`"weight":9`), 1)
		before := p.ActiveRevision()
		_ = p.OnPeer(damaged)
		assert.Assert(w.t, bytes.Equal(damaged, data) || p.ActiveRevision() == before, "a damaged state was taken from a peer")
		w.seen["damaged peer"]++
		return
	}
	if p.OnPeer(data) == nil && w.down && p.highest == 0 {
		w.seen["fresh process in an outage"]++
	}
}

// propose starts a publisher on a process's present state.
func (w *world) propose() {
	p := w.processes[w.random.IntN(len(w.processes))]
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
	doc.Teams = append(doc.Teams, config.Team{Name: fmt.Sprintf("t-%d", w.random.IntN(5)), Weight: 1})
	doc.Teams = slices.CompactFunc(doc.Canonical().Teams, func(a, b config.Team) bool { return a.Name == b.Name })
	doc.Teams[w.random.IntN(len(doc.Teams))].Weight = float64(w.random.IntN(50)) - 3
	if p.rules.Schema == 2 && w.chance(8) {
		doc.Schema = 3 - doc.Schema
	}
	record, err := NewRevision(w.id(), s.Current(), doc)
	if err == nil {
		w.active = append(w.active, &publishing{NewPublisher(record, reader.state), &reader, record})
	}
}

func (w *world) stepPublisher(p *publishing) {
	switch {
	case w.chance(2):
		p.OnDeadline()
	case p.Step() == StepAppend:
		w.stepAppend(p)
	case p.Step() == StepRead && !w.down:
		state := p.reader.State()
		for _, j := range w.read(p.reader) {
			p.OnApplied(j)
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
		w.seen["publisher: "+result.String()]++
		w.finished = append(w.finished, p)
		w.active = slices.DeleteFunc(w.active, func(other *publishing) bool { return other == p })
	}
}

func (w *world) stepAppend(p *publishing) {
	data, err := p.record.Encode()
	assert.NilError(w.t, err)
	dice := w.random.IntN(100)
	switch {
	case w.down && dice < 50, dice < 5:
		p.OnAppendFailed()
	case w.down && dice < 70, dice < 10:
		w.inFlight = append(w.inFlight, data)
		p.OnAppendUnconfirmed()
	case w.down, dice < 15:
		p.OnAppendUnconfirmed()
	case dice < 30:
		w.append(data)
		w.seen["lost answer"]++
		p.OnAppendUnconfirmed()
	case dice < 35:
		w.append(data)
		w.append(data)
		p.OnAppendSucceeded()
	default:
		w.append(data)
		p.OnAppendSucceeded()
	}
}

// writeLater captures a checkpoint or a plan that a paused process appends later.
func (w *world) writeLater() {
	p := w.processes[w.random.IntN(len(w.processes))]
	s := p.State()
	if s == nil {
		return
	}
	record := NewCheckpoint(w.id(), s)
	if w.chance(50) {
		plan, _ := s.Plan("m")
		record = NewPlan(w.id(), PlanProposal{Model: "m", Base: plan.Offset, Revision: s.Number(), Data: []byte(`{}`)})
	}
	data, err := record.Encode()
	assert.NilError(w.t, err)
	w.inFlight = append(w.inFlight, data)
}

func (w *world) deliver() {
	if w.down || len(w.inFlight) == 0 {
		return
	}
	i := w.random.IntN(len(w.inFlight))
	w.append(w.inFlight[i])
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
}

func (w *world) step() {
	switch dice := w.random.IntN(100); {
	case dice < 50:
		w.stepProcess(w.processes[w.random.IntN(len(w.processes))])
	case dice < 72 && len(w.active) > 0:
		w.stepPublisher(w.active[w.random.IntN(len(w.active))])
	case dice < 78:
		w.propose()
	case dice < 83:
		w.writeLater()
	case dice < 90:
		w.deliver()
	case dice < 94:
		w.down = w.chance(40)
	case dice < 97:
		w.processes[1+w.random.IntN(len(w.processes)-1)] = w.freshProcess()
	case w.processes[0].Following():
		w.first = max(w.first, min(w.processes[0].NextOffset(), w.first+int64(w.random.IntN(12))))
	}
}

func (w *world) atEnd(p *process) bool {
	return p.CaughtUp() && (p.NextOffset() == w.base+int64(len(w.log)) || len(w.log) == 0)
}

// catchUp reads to the end. A process without a place in the log may stay so
// when it reports that it cannot judge what is there.
func (w *world) catchUp(p *process) {
	for n := 0; !w.atEnd(p); n++ {
		if _, unjudged := p.NewerSchema(); unjudged && n > 500 {
			return
		}
		assert.Assert(w.t, n < 1000, "a process does not catch up")
		w.read(p.Reader)
	}
}

// settle ends the faults and lets everything come to rest.
func (w *world) settle() {
	w.down = false
	for len(w.active) > 0 {
		w.stepPublisher(w.active[0])
	}
	for len(w.inFlight) > 0 {
		w.deliver()
	}
	w.catchUp(w.processes[0])
	data, err := NewCheckpoint(w.id(), w.processes[0].State()).Encode()
	assert.NilError(w.t, err)
	w.append(data)
	for _, p := range w.processes {
		w.catchUp(p)
		w.check(p)
	}
}

// checkEnd compares what processes and publishers say with the oracle.
func (w *world) checkEnd(accepted map[string]int64) {
	for _, p := range w.processes {
		if _, unjudged := p.NewerSchema(); unjudged {
			continue
		}
		assert.Equal(w.t, string(w.encode(p.State())), string(w.encode(w.oracle)))
		if w.oracle.Current() != nil {
			assert.Equal(w.t, p.ActiveRevision().Number, w.oracle.Number())
		}
	}
	for _, p := range w.finished {
		result, number, _ := p.Result()
		_, took := accepted[p.record.ID]
		switch result {
		case ResultAccepted:
			assert.Assert(w.t, took, "reported accepted, but never took effect")
			assert.Assert(w.t, number >= accepted[p.record.ID])
		case ResultSuperseded, ResultInvalid, ResultNotSent:
			assert.Assert(w.t, !took, "reported %v, but took effect", result)
		}
	}
}

func (w *world) run() {
	for range 120 {
		w.step()
	}
	w.settle()
	accepted := map[string]int64{}
	judge := New(versionRules(2))
	for _, e := range w.log {
		record := Decode(e.Data, 2)
		if judge.Apply(e.Offset, record) == Accepted && record.Kind == KindRevision {
			assert.Assert(w.t, accepted[record.ID] == 0, "a record was accepted twice")
			accepted[record.ID] = judge.Number()
			w.seen["revisions"]++
		}
	}
	w.checkEnd(accepted)
}

func runHistory(t *testing.T, history int, seen map[string]int) {
	defer func() {
		if t.Failed() {
			t.Logf("failed in history %d of seed %d", history, *seed)
		}
	}()
	newWorld(t, uint64(history), seen).run()
}

// Guards against readers that disagree at equal offsets, a revision that goes
// back, an accepted revision that is lost, and a publisher that reports what is
// not so, in histories with racing publishers, lost and late answers,
// duplicates, outages, expiry, late checkpoints, two program versions, fresh
// processes and peers that lag.
func TestHistories(t *testing.T) {
	seen := map[string]int{}
	for history := range *histories {
		runHistory(t, history, seen)
	}
	t.Log(seen)
	for _, event := range []string{
		"expired read", "anchored", "unjudged", "damaged peer", "fresh process in an outage", "lost answer", "revisions",
		"publisher: accepted", "publisher: overtaken", "publisher: invalid", "publisher: not sent", "publisher: unknown",
	} {
		assert.Assert(t, seen[event] > 0, "no history had the event %q", event)
	}
}
