package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
)

// Outcome is the result of applying one record.
type Outcome int

// The outcomes.
const (
	// Accepted means that the record took effect.
	Accepted Outcome = iota
	// Duplicate means that an accepted record has the same id, or that the
	// offset was applied before.
	Duplicate
	// StaleBase means that the base is not the revision or plan in force.
	StaleBase
	// Invalid means that the record or the resulting document is not valid.
	Invalid
	// NewerSchema means that the record, or one before it, has a newer schema than
	// the program supports.
	NewerSchema
	// NoEffect means that the record is a checkpoint.
	NoEffect
)

// String returns the outcome in lower-case words.
func (o Outcome) String() string {
	return [...]string{"accepted", "duplicate", "stale base", "invalid", "not judged", "no effect"}[o]
}

// Revision is an accepted configuration. It is immutable.
type Revision struct {
	// Number counts accepted revisions from 1.
	Number int64
	// Offset is the offset of the accepted record.
	Offset   int64
	ID       string
	Digest   string
	Document *config.Document
}

// ActivePlan is an accepted placement plan. Its offset is the fencing token of
// the orders that carry it out.
type ActivePlan struct {
	Offset   int64           `json:"offset"`
	ID       string          `json:"id"`
	Revision int64           `json:"revision"`
	Data     json.RawMessage `json:"data"`
}

// RevisionRef identifies the record that created a revision.
type RevisionRef struct {
	Number int64  `json:"number"`
	Offset int64  `json:"offset"`
	ID     string `json:"id"`
	Digest string `json:"digest"`
}

// maxRecentRevisions bounds the accepted revisions that the state lists. They
// let a publisher find out the outcome of a record that has expired from the
// log.
const maxRecentRevisions = 64

// State is the result of applying the control stream in order. States that
// applied the same records are equal, whether they started from the first record
// or from a checkpoint.
type State struct {
	rules       Rules
	next        int64
	current     *Revision
	plans       map[string]ActivePlan
	recent      []RevisionRef
	newerSchema bool
	reason      string
}

// New returns the state to which no record was applied.
func New(rules Rules) *State {
	return &State{rules: rules, plans: map[string]ActivePlan{}}
}

// NextOffset returns the offset of the next record to apply.
func (s *State) NextOffset() int64 { return s.next }

// Current returns the revision in force, or nil if there is none.
func (s *State) Current() *Revision { return s.current }

// Number returns the number of the revision in force, or 0 if there is none.
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

// Recent returns the latest accepted revisions, oldest first.
func (s *State) Recent() []RevisionRef { return slices.Clone(s.recent) }

// NewerSchema returns the offset of the first record with a newer schema than
// the program supports. The state does not advance past it, because the outcome
// of later records depends on it.
func (s *State) NewerSchema() (offset int64, ok bool) { return s.next, s.newerSchema }

// Reason explains the outcome of the last Apply.
func (s *State) Reason() string { return s.reason }

// Apply applies the record at an offset. Records must be applied in the order of
// their offsets.
func (s *State) Apply(offset int64, r Record) Outcome {
	if offset < s.next {
		return s.withReason(Duplicate, "offset %d was folded before", offset)
	}
	if s.newerSchema {
		return s.withReason(NewerSchema, "the record at offset %d has a newer schema", s.next)
	}
	if r.Schema > s.rules.Schema && r.Kind != KindCheckpoint {
		s.next, s.newerSchema = offset, true
		return s.withReason(NewerSchema, "the record has schema %d; this program judges schema %d", r.Schema, s.rules.Schema)
	}
	s.next = offset + 1
	switch {
	case r.Kind == KindCheckpoint:
		return s.withReason(NoEffect, "a checkpoint")
	case r.malformed != nil:
		return s.withReason(Invalid, "%v", r.malformed)
	case r.Kind == KindRevision:
		return s.applyRevision(offset, r)
	case r.Kind == KindPlan:
		return s.applyPlan(offset, r)
	default:
		return s.withReason(Invalid, "unknown kind %q", string(r.Kind))
	}
}

// withReason sets the reason and returns the outcome.
func (s *State) withReason(o Outcome, format string, args ...any) Outcome {
	s.reason = fmt.Sprintf(format, args...)
	return o
}

func (s *State) applyRevision(offset int64, r Record) Outcome {
	if i := slices.IndexFunc(s.recent, func(ref RevisionRef) bool { return ref.ID == r.ID }); i >= 0 {
		return s.withReason(Duplicate, "accepted before as revision %d", s.recent[i].Number)
	}
	if r.Base != s.Number() {
		return s.withReason(StaleBase, "based on revision %d, but revision %d is in force", r.Base, s.Number())
	}
	doc, err := s.resultingDocument(r)
	if err != nil {
		return s.withReason(Invalid, "%v", err)
	}
	s.accept(Revision{Number: s.Number() + 1, Offset: offset, ID: r.ID, Digest: r.Digest, Document: doc})
	return s.withReason(Accepted, "revision %d", s.current.Number)
}

// resultingDocument returns the document after a revision record, if it is
// valid.
func (s *State) resultingDocument(r Record) (*config.Document, error) {
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
	if len(s.recent) > maxRecentRevisions {
		s.recent = slices.Delete(s.recent, 0, len(s.recent)-maxRecentRevisions)
	}
	// The plan of a removed model must not apply to a later model of the same name.
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
		return s.withReason(Invalid, "there is no model %q", p.Model)
	case p.Revision > s.Number():
		return s.withReason(Invalid, "made for revision %d, but revision %d is in force", p.Revision, s.Number())
	case current.ID == r.ID:
		return s.withReason(Duplicate, "accepted before at offset %d", current.Offset)
	case p.Base != current.Offset:
		return s.withReason(StaleBase, "replaces the plan at offset %d, but the one at %d is in force", p.Base, current.Offset)
	}
	s.plans[p.Model] = ActivePlan{Offset: offset, ID: r.ID, Revision: p.Revision, Data: p.Data}
	return s.withReason(Accepted, "plan at offset %d", offset)
}

// Checkpoint is a snapshot of a State, which is sent to the log and to peers.
type Checkpoint struct {
	Schema int `json:"schema"`
	// Next is the offset of the first record that the snapshot does not include.
	Next     int64                 `json:"next"`
	Number   int64                 `json:"number"`
	Digest   string                `json:"digest"`
	Document *config.Document      `json:"document"`
	Plans    map[string]ActivePlan `json:"plans"`
	Recent   []RevisionRef         `json:"recent"`
}

// Checkpoint returns a snapshot of the state.
func (s *State) Checkpoint() Checkpoint {
	c := Checkpoint{Schema: config.SchemaVersion, Next: s.next, Plans: s.Plans(), Recent: s.Recent()}
	if s.current != nil {
		c.Schema = s.current.Document.Schema
		c.Number, c.Digest, c.Document = s.current.Number, s.current.Digest, s.current.Document
	}
	return c
}

// Encode returns the checkpoint as it is sent to peers.
func (c Checkpoint) Encode() ([]byte, error) { return json.Marshal(c) }

// ErrNewerSchema is returned for a checkpoint with a schema that this program
// does not support.
var ErrNewerSchema = errors.New("the checkpoint has a newer schema")

// DecodeCheckpoint decodes a peer's checkpoint.
func DecodeCheckpoint(data []byte, maxSchema int) (Checkpoint, error) {
	var head struct {
		Schema int `json:"schema"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Checkpoint{}, err
	}
	if head.Schema > maxSchema {
		return Checkpoint{}, ErrNewerSchema
	}
	var c Checkpoint
	err := json.Unmarshal(data, &c)
	return c, err
}

// Restore returns the state of a checkpoint. It verifies the digest and
// validates the document, so that a damaged checkpoint is refused.
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

// restoreRevision sets the revision in force. A checkpoint without one is valid:
// no revision was accepted before it.
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
