// Package configlog derives the configuration revision and the placement plans
// in force from the control stream of the log service, and decides what readers
// and publishers of the stream do next. It performs no I/O and reads no clock:
// the order of the log alone decides, and every process that applies the same
// records reaches the same state.
package configlog

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/config"
	"github.com/sapphirefield/sapphirefield/finding"
)

// Stream is the name of the log service's stream that holds the records.
const Stream = "control"

// Kind is the kind of a record.
type Kind string

// The kinds of records. In every schema version, a checkpoint does not change
// the state, so a reader may skip one that it cannot decode.
const (
	KindRevision   Kind = "revision"
	KindPlan       Kind = "plan"
	KindCheckpoint Kind = "checkpoint"
)

// Record is one record of the control stream.
type Record struct {
	// Schema is the lowest schema version that a program must support to apply the
	// record. A change to the rules for accepting records needs a new schema
	// version; otherwise two program versions would disagree on the same record.
	Schema int `json:"schema"`
	// ID is unique, so that a writer can find its record in the log if the reply to
	// its append was lost.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// Author, Note and Time are informational and do not affect the state.
	Author string `json:"author,omitempty"`
	Note   string `json:"note,omitempty"`
	Time   string `json:"time,omitempty"`

	// Base is the number of the revision that this one replaces; 0 for the first.
	Base int64 `json:"base,omitempty"`
	// Digest is the digest of the resulting document.
	Digest   string           `json:"digest,omitempty"`
	Patch    config.Patch     `json:"patch,omitempty"`
	Document *config.Document `json:"document,omitempty"`

	Plan       *PlanProposal `json:"plan,omitempty"`
	Checkpoint *Checkpoint   `json:"checkpoint,omitempty"`

	// malformed is the error of decoding or validating the record.
	malformed error
}

// PlanProposal proposes a placement plan for one model.
type PlanProposal struct {
	Model string `json:"model"`
	// Base is the offset of the plan that this one replaces; 0 for the first.
	Base int64 `json:"base"`
	// Revision is the number of the configuration revision the plan was made for.
	Revision int64 `json:"revision"`
	// Data is the encoded plan, which is opaque to this package.
	Data json.RawMessage `json:"data"`
}

// Encode returns the record as it is appended to the log.
func (r Record) Encode() ([]byte, error) {
	return json.Marshal(r)
}

// Decode decodes a record. For bytes that are not a valid record, or that have
// an unknown field, it returns a Record that State.Apply rejects as Invalid. Of
// a record with a schema above maxSchema it decodes only schema, id and kind.
func Decode(data []byte, maxSchema int) Record {
	var head struct {
		Schema int    `json:"schema"`
		ID     string `json:"id"`
		Kind   Kind   `json:"kind"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return Record{malformed: err}
	}
	if head.Schema > maxSchema {
		return Record{Schema: head.Schema, ID: head.ID, Kind: head.Kind}
	}
	var r Record
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		return Record{Schema: head.Schema, ID: head.ID, Kind: head.Kind, malformed: err}
	}
	r.malformed = r.validate()
	return r
}

func (r Record) validate() error {
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

// NewRevision returns a record that proposes doc to replace the base revision,
// which is nil for the first revision. It returns ErrNoDifference if they are
// equal.
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

// ErrNoDifference is returned for a document that equals the base revision's.
var ErrNoDifference = errors.New("the document does not differ from the revision in force")

// NewPlan returns a record that proposes a placement plan.
func NewPlan(id string, plan PlanProposal) Record {
	return Record{Schema: config.SchemaVersion, ID: id, Kind: KindPlan, Plan: &plan}
}

// NewCheckpoint returns a record that holds a snapshot of the state.
func NewCheckpoint(id string, s *State) Record {
	checkpoint := s.Checkpoint()
	return Record{Schema: checkpoint.Schema, ID: id, Kind: KindCheckpoint, Checkpoint: &checkpoint}
}

// Rules are the rules by which a program version accepts records.
type Rules struct {
	// Schema is the highest supported schema version.
	Schema int
	// Validate returns what is wrong with a document.
	Validate func(*config.Document) finding.List
}

// DefaultRules returns the rules of this program version.
func DefaultRules() Rules {
	return Rules{Schema: config.SchemaVersion, Validate: (*config.Document).Validate}
}
