package claim

import (
	"time"
)

// Status says what became of one claim.
type Status int

// The values of Status.
const (
	// Absent means that no record of the claim was applied.
	Absent Status = iota
	// Won means that the claim was the first on its key and may run.
	Won
	// Lost means that another claim on the key was first.
	Lost
	// Conflicting means that an earlier claim on the key has another digest.
	Conflicting
	// Released means that the owner gave up the claim.
	Released
)

// String returns the lower-case name of the status.
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
	// Outcome is nil until an outcome record is applied.
	Outcome *Outcome
}

// State is the result of applying the claims stream in offset order. Every
// process that applies the same records reaches the same state. It must stay
// small, because every entry process holds the keys of the whole window in
// memory.
type State struct {
	// first is the oldest retained offset and next the next one to apply.
	first, next int64
	keys        map[Key]*keyHistory
	// byOffset lists the records in offset order, so that Trim finds expired ones
	// without a scan.
	byOffset []recordRef
}

// recordRef says which key has a record at an offset.
type recordRef struct {
	offset  int64
	history *keyHistory
}

// keyHistory holds the records of one key. They are kept because the claim that
// holds the key expires from the log before later claims do. A process that
// starts then sees a later claim first, and both must agree on the holder.
type keyHistory struct {
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

// keyState is the result of applying the events of a key in order.
type keyState struct {
	digest    string
	hasDigest bool
	held      bool
	holder    Holder
	// statuses is a slice because a key rarely has more than one claim.
	statuses []claimStatus
}

type claimStatus struct {
	claim  string
	status Status
}

// NewState returns an empty state whose next record is the one at offset next.
func NewState(next int64) *State {
	return &State{first: next, next: next, keys: map[Key]*keyHistory{}}
}

// NextOffset returns the offset of the next record to apply.
func (s *State) NextOffset() int64 {
	return s.next
}

// Keys returns the number of keys with retained records.
func (s *State) Keys() int {
	return len(s.keys)
}

// Apply applies the log record at an offset. It returns false and changes
// nothing unless the offset is NextOffset: a lower one is a duplicate delivery,
// and a higher one must wait until the gap is filled.
func (s *State) Apply(offset int64, batch Batch) bool {
	if offset != s.next {
		return false
	}
	s.next++
	for _, r := range batch.Records {
		s.apply(offset, r)
	}
	return true
}

func (s *State) apply(offset int64, r Record) {
	if r.Kind != KindClaim && r.Kind != KindOutcome && r.Kind != KindRelease {
		return
	}
	h := s.keys[r.Key]
	if h == nil {
		h = &keyHistory{key: r.Key}
		s.keys[r.Key] = h
	}
	e := event{offset: offset, kind: r.Kind, claim: r.Claim, digest: r.Digest, at: r.At}
	if r.Outcome != nil {
		kept := r.Outcome.LimitBody()
		e.outcome = &kept
	}
	h.events = append(h.events, e)
	h.state.apply(e)
	s.byOffset = append(s.byOffset, recordRef{offset: offset, history: h})
}

// Trim removes the records before first, the oldest offset that the log still
// retains. A claim is Absent once its record has expired from the log.
func (s *State) Trim(first int64) {
	if first <= s.first {
		return
	}
	s.first = first
	s.next = max(s.next, first)
	n := 0
	for n < len(s.byOffset) && s.byOffset[n].offset < first {
		s.trimKey(s.byOffset[n].history)
		n++
	}
	// Reslice instead of copying: in steady state one record expires for each new
	// one, and a copy would make each trim linear in the number of keys.
	clear(s.byOffset[:n])
	s.byOffset = s.byOffset[n:]
}

func (s *State) trimKey(h *keyHistory) {
	n := 0
	for n < len(h.events) && h.events[n].offset < s.first {
		n++
	}
	if n == 0 {
		return
	}
	h.events = append([]event(nil), h.events[n:]...)
	if len(h.events) == 0 {
		delete(s.keys, h.key)
		return
	}
	h.state = keyState{}
	for _, e := range h.events {
		h.state.apply(e)
	}
}

// Status returns the status of a claim on a key.
func (s *State) Status(key Key, claim string) Status {
	h := s.keys[key]
	if h == nil {
		return Absent
	}
	status, _ := h.state.status(claim)
	return status
}

// Holder returns the claim that holds a key, if any.
func (s *State) Holder(key Key) (Holder, bool) {
	h := s.keys[key]
	if h == nil || !h.state.held {
		return Holder{}, false
	}
	return h.state.holder, true
}

// Digest returns the digest of the first claim on a key, if any.
func (s *State) Digest(key Key) (string, bool) {
	h := s.keys[key]
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

func (s *keyState) status(claim string) (Status, bool) {
	for _, c := range s.statuses {
		if c.claim == claim {
			return c.status, true
		}
	}
	return Absent, false
}

func (s *keyState) setStatus(claim string, status Status) {
	for i := range s.statuses {
		if s.statuses[i].claim == claim {
			s.statuses[i].status = status
			return
		}
	}
	s.statuses = append(s.statuses, claimStatus{claim, status})
}

// claim applies a claim record. A copy of an earlier one has no effect.
func (s *keyState) claim(e event) {
	if _, known := s.status(e.claim); known {
		return
	}
	if s.hasDigest && s.digest != e.digest {
		s.setStatus(e.claim, Conflicting)
		return
	}
	s.digest, s.hasDigest = e.digest, true
	if s.held {
		s.setStatus(e.claim, Lost)
		return
	}
	s.setStatus(e.claim, Won)
	s.held = true
	s.holder = Holder{Claim: e.claim, Offset: e.offset, Digest: e.digest, At: e.at}
}

// outcome stores the holder's first outcome. Outcomes of other claims have no
// effect.
func (s *keyState) outcome(e event) {
	if !s.held || s.holder.Claim != e.claim || s.holder.Outcome != nil {
		return
	}
	s.holder.Outcome = e.outcome
}

// release frees the key if the holder gives it up before it has an outcome. A
// release can precede its claim in the log if the claim's append took effect
// late. It then keeps that claim from ever winning.
func (s *keyState) release(e event) {
	if s.held && s.holder.Claim == e.claim {
		if s.holder.Outcome != nil {
			return
		}
		s.held, s.holder = false, Holder{}
	}
	s.setStatus(e.claim, Released)
}
