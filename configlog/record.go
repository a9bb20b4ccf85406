// Package configlog folds the control stream of the log service into the
// configuration revision and the placement plans in force, and decides what
// readers and publishers of the stream do next. It performs no I/O and reads no
// clock: the log is the only arbiter, and every process that folds the same
// records comes to the same result.
package configlog

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/finding"
)

// Stream is the log service's stream that holds the records.
const Stream = "control"

// Kind tells what a record does.
type Kind string

// The kinds of records. A checkpoint never changes the result of the fold, in
// every schema version, so a reader may pass over one that it cannot read.
const (
	KindRevision   Kind = "revision"
	KindPlan       Kind = "plan"
	KindCheckpoint Kind = "checkpoint"
)

// Record is one record of the control stream.
type Record struct {
	// Schema is the lowest schema version that a program must know to judge the
	// record. A rule that judges records of an existing schema must not change,
	// because two program versions would then disagree; it needs a new schema.
	Schema int `json:"schema"`
	// ID is unique, so that a writer finds its record again after a lost answer.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Author, Note and Time inform people; the fold ignores them.
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	Time   string `json:"time,omitempty"`

	// Base is the revision that a new revision is made from; 0 for the first.
	Base int64 `json:"base,omitempty"`
	// Digest is the digest of the resulting document.
	Digest   string           `json:"digest,omitempty"`
	Patch    config.Patch     `json:"patch,omitempty"`
	Document *config.Document `json:"document,omitempty"`

	Plan       *PlanProposal `json:"plan,omitempty"`
	Checkpoint *Checkpoint   `json:"checkpoint,omitempty"`

	// malformed is why a record could not be read.
	malformed error
}

// PlanProposal proposes a placement plan for one model.
type PlanProposal struct {
	Model string `json:"model"`
	// Base is the offset of the plan that this one replaces; 0 for the first.
	Base int64 `json:"base"`
	// Revision is the configuration revision the plan was made for.
	Revision int64 `json:"revision"`
	// Data is the plan itself, which this package does not read.
	Data json.RawMessage `json:"data"`
}

// Encode returns the record's bytes for the log.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode reads a record. Bytes that are no record give a Record that the fold
// judges invalid, as does an unknown member. A record of a schema above known is
// read only as far as its schema, id and kind.
func Decode(data []byte, known int) Record {
	var head struct {
		Schema int    `json:"schema"`
		ID     string `json:"id"`
		Kind   Kind   `json:"kind"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Record{malformed: err}
	}
	if head.Schema > known {
		return Record{Schema: head.Schema, ID: head.ID, Kind: head.Kind}
	}
	var r Record
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return Record{Schema: head.Schema, ID: head.ID, Kind: head.Kind, malformed: err}
	}
	r.malformed = r.check()
	return r
}

func (r Record) check() error {
	switch {
	case r.Schema < 1:
		return errors.New("the record has no schema version")
	case r.ID == "":
		return errors.New("the record has no id")
	case r.Kind == KindRevision && (r.Document == nil) == (r.Patch == nil):
		return errors.New("a revision needs either a patch or a document")
	case r.Kind == KindRevision && r.Digest == "":
		return errors.New("a revision needs a digest")
	case r.Kind == KindPlan && r.Plan == nil:
		return errors.New("a plan record needs a plan")
	case r.Kind == KindCheckpoint && r.Checkpoint == nil:
		return errors.New("a checkpoint record needs a checkpoint")
	}
	return nil
}

// NewRevision makes a record that proposes doc in place of the base revision,
// which is nil for the first revision. It fails when there is no difference.
func NewRevision(id string, base *Revision, doc *config.Document) (Record, error) {
	doc = doc.Canonical()
	r := Record{Schema: doc.Schema, ID: id, Kind: KindRevision, Digest: doc.Digest()}
	if base == nil {
		r.Document = doc
		return r, nil
	}
	patch, err := config.Diff(base.Document, doc)
	if err != nil {
		return Record{}, err
	}
	if len(patch) == 0 {
		return Record{}, ErrNoDifference
	}
	r.Base, r.Patch = base.Number, patch
	return r, nil
}

// ErrNoDifference is returned for a document that is already in force.
var ErrNoDifference = errors.New("the document does not differ from the revision in force")

// NewPlan makes a record that proposes a placement plan.
func NewPlan(id string, plan PlanProposal) Record {
	return Record{Schema: config.SchemaVersion, ID: id, Kind: KindPlan, Plan: &plan}
}

// NewCheckpoint makes a record that carries the state.
func NewCheckpoint(id string, s *State) Record {
	checkpoint := s.Checkpoint()
	return Record{Schema: checkpoint.Schema, ID: id, Kind: KindCheckpoint, Checkpoint: &checkpoint}
}

// Rules are what a program version knows.
type Rules struct {
	// Schema is the highest schema version that the program judges.
	Schema int
	// Validate checks a document.
	Validate func(*config.Document) finding.List
}

// DefaultRules are the rules of this program.
func DefaultRules() Rules {
	return Rules{Schema: config.SchemaVersion, Validate: (*config.Document).Validate}
}
