package planner

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Encode returns the directive as the data of a plan record.
func Encode(d *Directive) ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.WithStack(err)
}

// Decode reads the data of a plan record.
func Decode(data []byte) (*Directive, error) {
	d := new(Directive)
	if err := json.Unmarshal(data, d); err != nil {
		return nil, errors.Wrap(err, "decode a placement plan")
	}
	return d, nil
}
