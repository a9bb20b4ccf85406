// Package claim decides which of several calls with the same idempotency key
// may run. Claims are records on the log: the first claim in offset order wins
// and no other claim takes it over. The package performs no I/O and reads no clock.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/attempt"
)

// SchemaVersion is the version of the claim records that this program writes. The
// members of a claim that name its key never change their meaning, so an older
// program still honours the claims of a newer one.
const SchemaVersion = 1

// MaxStoredBody is the largest answer body in bytes that an outcome record keeps.
// Every entry holds the outcomes of the whole window in memory.
const MaxStoredBody = 4096

// Key names an idempotency key. Keys of different teams or services never meet.
type Key struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Value   string `json:"value"`
}

// Kind is the kind of a record.
type Kind string

// The kinds of records. Records of other kinds have no effect.
const (
	// KindClaim asks for the right to run.
	KindClaim Kind = "claim"
	// KindOutcome tells how the run of a claim ended.
	KindOutcome Kind = "outcome"
	// KindRelease gives a claim back. Only the claim's owner writes it, after it has
	// decided for good that the call was not run and will not be.
	KindRelease Kind = "release"
)

// Record is one entry of the claims stream.
type Record struct {
	Schema int  `json:"schema"`
	Kind   Kind `json:"kind"`
	Key    Key  `json:"key"`
	// Claim is the unique id of the claim. A copy of a record, written because
	// the answer to an append was lost, carries the same id.
	Claim string `json:"claim"`
	// Digest is the digest of the call's method, path and body; set on claims.
	Digest string `json:"digest,omitempty"`
	// At is the time of the claim by its writer's clock; set on claims.
	At time.Time `json:"at,omitzero"`
	// Outcome is set on outcomes.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the end of a run as it is kept for later calls with the same key.
type Outcome struct {
	Executed attempt.Executed `json:"executed"`
	// Status, ContentType and Body repeat the first answer. Status is 0 when no answer arrived.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped is set when the body was larger than MaxStoredBody.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// LimitBody returns the outcome without a body that is too large to keep.
func (o Outcome) LimitBody() Outcome {
	if len(o.Body) > MaxStoredBody {
		o.Body, o.BodyDropped = nil, true
	}
	return o
}

// Batch is the content of one log record. Claims share a record because the log takes few appends a second.
type Batch struct {
	Records []Record `json:"records"`
}

// Encode returns the batch as the bytes of a log record.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode claim batch")
}

// DecodeBatch reads the bytes of a log record.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Wrap(err, "decode claim batch")
	}
	return b, nil
}

// Digest returns the digest of a call. Its parts are separated by their
// lengths, so no two calls share one input.
func Digest(method, path string, body []byte) string {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), body} {
		var size [8]byte
		for i := range size {
			size[i] = byte(uint64(len(part)) >> (8 * i))
		}
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
