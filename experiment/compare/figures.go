package compare

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Figure is a number that a play prints.
type Figure struct {
	Name string
	// Pattern has one group, which holds the number. The last match of a play counts.
	Pattern        *regexp.Regexp
	HigherIsBetter bool
}

// ParseFigure parses NAME=PATTERN. A figure of which a lower value is better is written
// -NAME=PATTERN.
func ParseFigure(text string) (Figure, error) {
	name, expression, found := strings.Cut(text, "=")
	figure := Figure{HigherIsBetter: !strings.HasPrefix(name, "-"), Name: strings.TrimPrefix(name, "-")}
	if !found || figure.Name == "" || expression == "" {
		return figure, errors.Errorf("figure %q: write NAME=PATTERN", text)
	}
	pattern, err := regexp.Compile(expression)
	if err != nil {
		return figure, errors.Wrapf(err, "figure %q", figure.Name)
	}
	if pattern.NumSubexp() != 1 {
		return figure, errors.Errorf("figure %q: its pattern has %d groups; write one around the number", figure.Name, pattern.NumSubexp())
	}
	figure.Pattern = pattern
	return figure, nil
}

// read returns the figure that a play has printed.
func (f Figure) read(output []byte) (float64, error) {
	matches := f.Pattern.FindAllSubmatch(output, -1)
	if len(matches) == 0 {
		return 0, errors.Errorf("figure %q: the pattern finds nothing", f.Name)
	}
	value, err := strconv.ParseFloat(string(matches[len(matches)-1][1]), 64)
	return value, errors.Wrapf(err, "figure %q", f.Name)
}

// readAll returns all figures of a play, and the error of the first that is missing.
func readAll(figures []Figure, output []byte) (map[string]float64, error) {
	values := map[string]float64{}
	var firstErr error
	for _, f := range figures {
		value, err := f.read(output)
		if err == nil {
			values[f.Name] = value
		} else if firstErr == nil {
			firstErr = err
		}
	}
	return values, firstErr
}

// checkNames reports figures that are given twice.
func checkNames(figures []Figure) error {
	var names []string
	for _, f := range figures {
		if slices.Contains(names, f.Name) {
			return errors.Errorf("figure %q is given twice", f.Name)
		}
		names = append(names, f.Name)
	}
	return nil
}
