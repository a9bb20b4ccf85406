// Package claim decides which of several calls with the same idempotency key
// may run. Calls append claim records to a stream of the log service: the first
// claim by offset wins and is never taken over by another. The package performs
// no I/O and reads no clock.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/quarantine"
)

// SchemaVersion is the schema version of the records that this program writes.
// The JSON fields that identify the key of a claim keep their meaning in all
// versions, so that an older program honours the claims of a newer one.
const SchemaVersion = 1

// MaxStoredBody is the largest response body in bytes that an outcome record
// stores. It is small because every entry process holds the outcomes of the
// whole window in memory.
const MaxStoredBody = 4096

// Key identifies an idempotency key. Keys are scoped by team and service.
type Key struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	Value   string `json:"value"`
}

// Kind is the kind of a record.
type Kind string

// The kinds of records. Records of other kinds have no effect.
const (
	// KindClaim requests the right to run the call.
	KindClaim Kind = "claim"
	// KindOutcome stores the outcome of the claimed call.
	KindOutcome Kind = "outcome"
	// KindRelease gives up a claim. Only the claim's owner writes it, once it is
	// certain that the call did not run and will not run.
	KindRelease Kind = "release"
)

// Record is one record of the claims stream.
type Record struct {
	Schema int  `json:"schema"`
	Kind   Kind `json:"kind"`
	Key    Key  `json:"key"`
	// Claim is the unique id of the claim. A record that is appended again because
	// the reply to the first append was lost carries the same id.
	Claim string `json:"claim"`
	// Digest is the digest of the call's method, path and body. Only claims have it.
	Digest string `json:"digest,omitempty"`
	// At is the time of the claim by its writer's clock. Only claims have it.
	At time.Time `json:"at,omitzero"`
	// Outcome is set on records of KindOutcome.
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Outcome is the stored result of a call, for later calls with the same key.
type Outcome struct {
	Executed attempt.Executed `json:"executed"`
	// Status, ContentType and Body are those of the call's response. Status is 0 if
	// no response arrived.
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyDropped reports whether the body was larger than MaxStoredBody.
	BodyDropped bool `json:"body_dropped,omitempty"`
}

// LimitBody returns a copy of the outcome, without the body if it exceeds
// MaxStoredBody.
func (o Outcome) LimitBody() Outcome {
	if len(o.Body) > MaxStoredBody {
		o.Body, o.BodyDropped = nil, true
	}
	return o
}

// Batch is the payload of one log record. It holds several records because the
// log service accepts only a few appends per second.
type Batch struct {
	Records []Record `json:"records"`
	// Suspicions are not about keys. They are in this stream because all entries read
	// it anyway; the claims ignore them.
	Suspicions []Suspicion `json:"suspicions,omitempty"`
}

// Suspicion says that a backend server has ended under a request.
type Suspicion struct {
	quarantine.Suspicion
	// At is the time by the writer's clock.
	At time.Time `json:"at"`
}

// Encode returns the payload of a log record.
func (b Batch) Encode() ([]byte, error) {
	data, err := json.Marshal(b)
	return data, errors.Wrap(err, "encode claim batch")
}

// DecodeBatch decodes the payload of a log record.
func DecodeBatch(data []byte) (Batch, error) {
	var b Batch
	if err := json.Unmarshal(data, &b); err != nil {
		return Batch{}, errors.Wrap(err, "decode claim batch")
	}
	return b, nil
}

// Digest returns the SHA-256 digest of a call in hexadecimal. Each part is
// prefixed with its length, so that different calls never hash the same input.
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
