package claim

import (
	"time"
)

// Status is the position of one claim in the fold.
type Status int

// The standings.
const (
	// Absent means that the fold has not seen the claim.
	Absent Status = iota
	// Won means that the claim was the first and may run.
	Won
	// Lost means that another claim on the key was first.
	Lost
	// Conflicting means that an earlier claim on the key has another digest.
	Conflicting
	// Released means that the owner gave the claim back.
	Released
)

// String returns the standing's name.
func (s Status) String() string {
	switch s {
	case Won:
		return "won"
	case Lost:
		return "lost"
	case Conflicting:
		return "conflicting"
	case Released:
		return "released"
	default:
		return "absent"
	}
}

// Holder describes the claim that holds a key.
type Holder struct {
	Claim  string
	Offset int64
	Digest string
	At     time.Time
	// Outcome is nil until an outcome was recorded.
	Outcome *Outcome
}

// State is the state that the claims stream describes. Every process that folds
// the same records in offset order reaches the same state. It is kept small,
// because every entry holds the keys of the whole window in memory.
type State struct {
	first, next int64
	keys        map[Key]*history
	// order lists keys in offset order, so that expired records are found without a scan.
	order []position
}

type position struct {
	offset  int64
	history *history
}

// history keeps what the log says about one key. The events stay because the
// claim that holds the key may leave the log before later ones do, and a fresh
// reader then sees a later claim first; both must agree on the holder.
type history struct {
	key    Key
	events []event
	state  keyState
}

// event is a record without its key.
type event struct {
	offset  int64
	kind    Kind
	claim   string
	digest  string
	at      time.Time
	outcome *Outcome
}

// keyState is the result of applying a key's events in order.
type keyState struct {
	digest    string
	hasDigest bool
	held      bool
	holder    Holder
	// standings has one entry for each claim; a key rarely has more than one.
	standings []claimStanding
}

type claimStanding struct {
	claim    string
	standing Status
}

// NewState returns an empty fold that expects the record at offset next.
func NewState(next int64) *State {
	return &State{first: next, next: next, keys: map[Key]*history{}}
}

// NextOffset returns the offset that the fold expects.
func (f *State) NextOffset() int64 {
	return f.next
}

// Keys returns the number of keys that the fold remembers.
func (f *State) Keys() int {
	return len(f.keys)
}

// Apply folds the record at an offset. It returns false, and changes nothing,
// when the offset is not the one expected: a record that was delivered twice is
// of no interest, and one after a gap must wait for the records between.
func (f *State) Apply(offset int64, batch Batch) bool {
	if offset != f.next {
		return false
	}
	f.next++
	for _, r := range batch.Records {
		f.apply(offset, r)
	}
	return true
}

func (f *State) apply(offset int64, r Record) {
	if r.Kind != KindClaim && r.Kind != KindOutcome && r.Kind != KindRelease {
		return
	}
	h := f.keys[r.Key]
	if h == nil {
		h = &history{key: r.Key}
		f.keys[r.Key] = h
	}
	e := event{offset: offset, kind: r.Kind, claim: r.Claim, digest: r.Digest, at: r.At}
	if r.Outcome != nil {
		kept := r.Outcome.LimitBody()
		e.outcome = &kept
	}
	h.events = append(h.events, e)
	h.state.apply(e)
	f.order = append(f.order, position{offset: offset, history: h})
}

// Trim forgets the records before first, the oldest offset that the log still
// holds. A claim counts as absent once its record has left the log.
func (f *State) Trim(first int64) {
	if first <= f.first {
		return
	}
	f.first = first
	f.next = max(f.next, first)
	n := 0
	for n < len(f.order) && f.order[n].offset < first {
		f.trimKey(f.order[n].history)
		n++
	}
	// The slice is moved on and not copied: with a record expiring for each new
	// one, a copy would make every trim as costly as the number of keys.
	clear(f.order[:n])
	f.order = f.order[n:]
}

func (f *State) trimKey(h *history) {
	n := 0
	for n < len(h.events) && h.events[n].offset < f.first {
		n++
	}
	if n == 0 {
		return
	}
	h.events = append([]event(nil), h.events[n:]...)
	if len(h.events) == 0 {
		delete(f.keys, h.key)
		return
	}
	h.state = keyState{}
	for _, e := range h.events {
		h.state.apply(e)
	}
}

// Status returns the standing of a claim on a key.
func (f *State) Status(key Key, claim string) Status {
	h := f.keys[key]
	if h == nil {
		return Absent
	}
	standing, _ := h.state.standing(claim)
	return standing
}

// Holder returns the claim that holds a key.
func (f *State) Holder(key Key) (Holder, bool) {
	h := f.keys[key]
	if h == nil || !h.state.held {
		return Holder{}, false
	}
	return h.state.holder, true
}

// Digest returns the digest under which a key was first claimed.
func (f *State) Digest(key Key) (string, bool) {
	h := f.keys[key]
	if h == nil || !h.state.hasDigest {
		return "", false
	}
	return h.state.digest, true
}

func (s *keyState) apply(e event) {
	switch e.kind {
	case KindClaim:
		s.claim(e)
	case KindOutcome:
		s.outcome(e)
	case KindRelease:
		s.release(e)
	}
}

func (s *keyState) standing(claim string) (Status, bool) {
	for _, c := range s.standings {
		if c.claim == claim {
			return c.standing, true
		}
	}
	return Absent, false
}

func (s *keyState) setStanding(claim string, standing Status) {
	for i := range s.standings {
		if s.standings[i].claim == claim {
			s.standings[i].standing = standing
			return
		}
	}
	s.standings = append(s.standings, claimStanding{claim, standing})
}

// claim gives a claim its standing once. A copy of the record changes nothing.
func (s *keyState) claim(e event) {
	if _, known := s.standing(e.claim); known {
		return
	}
	if s.hasDigest && s.digest != e.digest {
		s.setStanding(e.claim, Conflicting)
		return
	}
	s.digest, s.hasDigest = e.digest, true
	if s.held {
		s.setStanding(e.claim, Lost)
		return
	}
	s.setStanding(e.claim, Won)
	s.held = true
	s.holder = Holder{Claim: e.claim, Offset: e.offset, Digest: e.digest, At: e.at}
}

// outcome keeps the first outcome of the holder. Outcomes of other claims have no effect.
func (s *keyState) outcome(e event) {
	if !s.held || s.holder.Claim != e.claim || s.holder.Outcome != nil {
		return
	}
	s.holder.Outcome = e.outcome
}

// release frees the key when the holder gives it back. A release that arrives
// before its claim, because the answer to the claim's append was lost and the
// append took effect late, keeps that claim from ever winning.
func (s *keyState) release(e event) {
	if s.held && s.holder.Claim == e.claim {
		if s.holder.Outcome != nil {
			return
		}
		s.held, s.holder = false, Holder{}
	}
	s.setStanding(e.claim, Released)
}
