package planner

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxDirectiveBytes limits the decompressed size of a directive. One for 3,100
// engines takes 0.6 MB.
const maxDirectiveBytes = 64 << 20

// compressedDirective is the data of a plan record. Names and numbers repeat, so
// a directive compresses well.
type compressedDirective struct {
	Gzip []byte `json:"gzip"`
}

// Encode encodes a directive as the data of a plan record.
func Encode(d *Directive) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := json.Marshal(compressedDirective{Gzip: b.Bytes()})
	return data, errors.WithStack(err)
}

// Decode decodes the data of a plan record.
func Decode(data []byte) (*Directive, error) {
	var p compressedDirective
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode a placement plan")
	}
	r, err := gzip.NewReader(bytes.NewReader(p.Gzip))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a placement plan")
	}
	decompressed, err := io.ReadAll(io.LimitReader(r, maxDirectiveBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a placement plan")
	}
	d := new(Directive)
	if err := json.Unmarshal(decompressed, d); err != nil {
		return nil, errors.Wrap(err, "decode a placement plan")
	}
	return d, nil
}
