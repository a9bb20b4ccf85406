package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
)

// Outcome is the fold's judgement of one record.
type Outcome int

// The outcomes.
const (
	// Accepted means that the record took effect.
	Accepted Outcome = iota
	// Duplicate means that an accepted record has the same id, or that the
	// offset was already folded.
	Duplicate
	// StaleBase means that another record was accepted on the same base before.
	StaleBase
	// Invalid means that the record, or the document it leads to, breaks a rule.
	Invalid
	// NewerSchema means that the record, or one before it, has a newer schema.
	NewerSchema
	// NoEffect means that the record is a checkpoint.
	NoEffect
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"accepted", "duplicate", "stale base", "invalid", "not judged", "no effect"}[o]
}

// Revision is an accepted configuration. It never changes.
type Revision struct {
	// Number counts accepted revisions from 1.
	Number int64
	// Offset is the offset of the record that was accepted.
	Offset   int64
	ID       string
	Digest   string
	Document *config.Document
}

// ActivePlan is an accepted placement plan. Its offset serves as the fencing
// number of the orders that carry it out.
type ActivePlan struct {
	Offset   int64           `json:"offset"`
	ID       string          `json:"id"`
	Revision int64           `json:"revision"`
	Data     json.RawMessage `json:"data"`
}

// RevisionRef tells which record made a revision.
type RevisionRef struct {
	Number int64  `json:"number"`
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

// recentLimit bounds the accepted ids that the state keeps. They let a
// publisher whose record has left the log learn what became of it.
const recentLimit = 64

// State is the fold over the control stream. Two states that folded the same
// records are equal, whether they started from the first record or from a
// checkpoint.
type State struct {
	rules    Rules
	next     int64
	current  *Revision
	plans    map[string]ActivePlan
	recent   []RevisionRef
	unjudged bool
	reason   string
}

// New returns the state before the first record.
func New(rules Rules) *State {
	return &State{rules: rules, plans: map[string]ActivePlan{}}
}

// NextOffset is the offset of the first record that is not folded.
func (s *State) NextOffset() int64 { return s.next }

// Current returns the revision in force, or nil before the first.
func (s *State) Current() *Revision { return s.current }

// Number is the number of the revision in force, or 0 before the first.
func (s *State) Number() int64 {
	if s.current == nil {
		return 0
	}
	return s.current.Number
}

// Plan returns the plan in force for a model.
func (s *State) Plan(model string) (ActivePlan, bool) {
	plan, ok := s.plans[model]
	return plan, ok
}

// Plans returns the plans in force by model.
func (s *State) Plans() map[string]ActivePlan { return maps.Clone(s.plans) }

// Recent returns the newest accepted revisions, oldest first.
func (s *State) Recent() []RevisionRef { return slices.Clone(s.recent) }

// NewerSchema returns the offset of the first record with a newer schema. The fold
// stops before it: whether later records are accepted depends on it.
func (s *State) NewerSchema() (offset int64, ok bool) { return s.next, s.unjudged }

// Reason explains the outcome of the last Apply.
func (s *State) Reason() string { return s.reason }

// Apply folds the record at an offset. Records are folded in the order of
// their offsets.
func (s *State) Apply(offset int64, r Record) Outcome {
	if offset < s.next {
		return s.because(Duplicate, "offset %d was folded before", offset)
	}
	if s.unjudged {
		return s.because(NewerSchema, "the record at offset %d has a newer schema", s.next)
	}
	if r.Schema > s.rules.Schema && r.Kind != KindCheckpoint {
		s.next, s.unjudged = offset, true
		return s.because(NewerSchema, "the record has schema %d; this program judges schema %d", r.Schema, s.rules.Schema)
	}
	s.next = offset + 1
	switch {
	case r.Kind == KindCheckpoint:
		return s.because(NoEffect, "a checkpoint")
	case r.malformed != nil:
		return s.because(Invalid, "%v", r.malformed)
	case r.Kind == KindRevision:
		return s.applyRevision(offset, r)
	case r.Kind == KindPlan:
		return s.applyPlan(offset, r)
	default:
		return s.because(Invalid, "unknown kind %q", string(r.Kind))
	}
}

func (s *State) because(o Outcome, format string, args ...any) Outcome {
	s.reason = fmt.Sprintf(format, args...)
	return o
}

func (s *State) applyRevision(offset int64, r Record) Outcome {
	if i := slices.IndexFunc(s.recent, func(a RevisionRef) bool { return a.ID == r.ID }); i >= 0 {
		return s.because(Duplicate, "accepted before as revision %d", s.recent[i].Number)
	}
	if r.Base != s.Number() {
		return s.because(StaleBase, "based on revision %d, but revision %d is in force", r.Base, s.Number())
	}
	doc, err := s.proposed(r)
	if err != nil {
		return s.because(Invalid, "%v", err)
	}
	s.accept(Revision{Number: s.Number() + 1, Offset: offset, ID: r.ID, Digest: r.Digest, Document: doc})
	return s.because(Accepted, "revision %d", s.current.Number)
}

// proposed returns the document that the record leads to, if it is valid.
func (s *State) proposed(r Record) (*config.Document, error) {
	doc := r.Document
	if doc == nil && s.current == nil {
		return nil, errors.New("a patch has no document to apply to")
	}
	var err error
	if doc != nil {
		doc = doc.Canonical()
	} else if doc, err = config.Apply(s.current.Document, r.Patch); err != nil {
		return nil, err
	}
	if digest := doc.Digest(); digest != r.Digest {
		return nil, errors.Errorf("the document has digest %.12s, the record names %.12s", digest, r.Digest)
	}
	return doc, s.rules.Validate(doc).Err()
}

func (s *State) accept(r Revision) {
	s.current = &r
	s.recent = append(s.recent, RevisionRef{Number: r.Number, Offset: r.Offset, ID: r.ID, Digest: r.Digest})
	if len(s.recent) > recentLimit {
		s.recent = slices.Delete(s.recent, 0, len(s.recent)-recentLimit)
	}
	// A plan for a model that is gone must not come back with a later model of the same name.
	maps.DeleteFunc(s.plans, func(model string, _ ActivePlan) bool { return !hasModel(r.Document, model) })
}

func hasModel(doc *config.Document, name string) bool {
	return slices.ContainsFunc(doc.Models, func(m config.Model) bool { return m.Name == name })
}

func (s *State) applyPlan(offset int64, r Record) Outcome {
	p := r.Plan
	current := s.plans[p.Model]
	switch {
	case s.current == nil || !hasModel(s.current.Document, p.Model):
		return s.because(Invalid, "there is no model %q", p.Model)
	case p.Revision > s.Number():
		return s.because(Invalid, "made for revision %d, but revision %d is in force", p.Revision, s.Number())
	case current.ID == r.ID:
		return s.because(Duplicate, "accepted before at offset %d", current.Offset)
	case p.Base != current.Offset:
		return s.because(StaleBase, "replaces the plan at offset %d, but the one at %d is in force", p.Base, current.Offset)
	}
	s.plans[p.Model] = ActivePlan{Offset: offset, ID: r.ID, Revision: p.Revision, Data: p.Data}
	return s.because(Accepted, "plan at offset %d", offset)
}

// Checkpoint is a folded state in a form that is sent to the log and to peers.
type Checkpoint struct {
	Schema int `json:"schema"`
	// Next is the offset of the first record that is not folded in.
	Next     int64                 `json:"next"`
	Number   int64                 `json:"number"`
	Digest   string                `json:"digest"`
	Document *config.Document      `json:"document"`
	Plans    map[string]ActivePlan `json:"plans"`
	Recent   []RevisionRef         `json:"recent"`
}

// Checkpoint returns the state.
func (s *State) Checkpoint() Checkpoint {
	c := Checkpoint{Schema: config.SchemaVersion, Next: s.next, Plans: s.Plans(), Recent: s.Recent()}
	if s.current != nil {
		c.Schema = s.current.Document.Schema
		c.Number, c.Digest, c.Document = s.current.Number, s.current.Digest, s.current.Document
	}
	return c
}

// Encode returns the checkpoint's bytes, as they are sent to peers.
func (c Checkpoint) Encode() ([]byte, error) { return json.Marshal(c) }

// ErrNewerSchema is returned for a checkpoint that this program cannot judge.
var ErrNewerSchema = errors.New("the checkpoint has a newer schema")

// DecodeCheckpoint reads a checkpoint of a peer.
func DecodeCheckpoint(data []byte, known int) (Checkpoint, error) {
	var head struct {
		Schema int `json:"schema"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Checkpoint{}, err
	}
	if head.Schema > known {
		return Checkpoint{}, ErrNewerSchema
	}
	var c Checkpoint
	err := json.Unmarshal(data, &c)
	return c, err
}

// Restore returns the state that a checkpoint holds. It checks the digest, so
// that a damaged checkpoint is refused.
func Restore(rules Rules, c Checkpoint) (*State, error) {
	if c.Schema > rules.Schema {
		return nil, ErrNewerSchema
	}
	s := New(rules)
	s.next = c.Next
	s.recent = slices.Clone(c.Recent)
	if err := s.restoreRevision(c); err != nil {
		return nil, err
	}
	maps.Copy(s.plans, c.Plans)
	return s, nil
}

// restoreRevision sets the revision in force. A checkpoint without one stands
// for a log in which nothing was accepted yet.
func (s *State) restoreRevision(c Checkpoint) error {
	if c.Number == 0 && c.Document == nil && len(c.Recent) == 0 {
		return nil
	}
	if c.Document == nil || len(c.Recent) == 0 {
		return errors.New("the checkpoint holds only a part of a revision")
	}
	last := c.Recent[len(c.Recent)-1]
	if last.Number != c.Number || last.Digest != c.Digest {
		return errors.New("the checkpoint's list of revisions does not end with its revision")
	}
	doc := c.Document.Canonical()
	if digest := doc.Digest(); digest != c.Digest {
		return errors.Errorf("the document has digest %.12s, the checkpoint names %.12s", digest, c.Digest)
	}
	s.current = &Revision{Number: c.Number, Offset: last.Offset, ID: last.ID, Digest: c.Digest, Document: doc}
	return s.rules.Validate(doc).Err()
}
