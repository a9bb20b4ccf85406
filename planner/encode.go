package planner

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxDirectiveBytes bounds a directive after decompression. One for 3,100
// engines takes 0.6 MB.
const maxDirectiveBytes = 64 << 20

// packed is the data of a plan record. Names and numbers repeat, so that a
// compressed directive takes a small part of its bytes.
type packed struct {
	Gzip []byte `json:"gzip"`
}

// Encode returns the directive as the data of a plan record.
func Encode(d *Directive) ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(d); err != nil {
		return nil, errors.WithStack(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.WithStack(err)
	}
	data, err := json.Marshal(packed{Gzip: b.Bytes()})
	return data, errors.WithStack(err)
}

// Decode reads the data of a plan record.
func Decode(data []byte) (*Directive, error) {
	var p packed
	if err := json.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode a placement plan")
	}
	r, err := gzip.NewReader(bytes.NewReader(p.Gzip))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a placement plan")
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDirectiveBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress a placement plan")
	}
	d := new(Directive)
	if err := json.Unmarshal(text, d); err != nil {
		return nil, errors.Wrap(err, "decode a placement plan")
	}
	return d, nil
}
