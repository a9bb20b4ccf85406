package chart

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"gopkg.in/yaml.v3"

	"github.com/sapphirefield/sapphirefield/finding"
)

const extension = ".yaml"

// document is the YAML schema of a chart file.
type document struct {
	Name          scalar               `yaml:"name"`
	Description   string               `yaml:"about"`
	InterpretedBy string               `yaml:"followed_by"`
	Initial       scalar               `yaml:"initial"`
	States        []documentState      `yaml:"states"`
	Events        []documentEvent      `yaml:"events"`
	Transitions   []documentTransition `yaml:"transitions"`
}

type documentState struct {
	Name        scalar `yaml:"name"`
	Description string `yaml:"about"`
	Final       bool   `yaml:"final"`
}

type documentEvent struct {
	Name        scalar `yaml:"name"`
	Description string `yaml:"about"`
}

type documentTransition struct {
	From  scalarList `yaml:"from"`
	Event scalar     `yaml:"event"`
	To    scalar     `yaml:"to"`
}

// scalar is a YAML scalar with its position in the file.
type scalar struct {
	value        string
	line, column int
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (t *scalar) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind != yaml.ScalarNode {
		// The YAML decoder collects errors of this type and continues; any other
		// error ends the decoding.
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: expected a name", node.Line)}}
	}
	*t = scalar{node.Value, node.Line, node.Column}
	return nil
}

// scalarList is written as one scalar or as a sequence of scalars.
type scalarList []scalar

// UnmarshalYAML implements yaml.Unmarshaler.
func (l *scalarList) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind == yaml.SequenceNode {
		var scalars []scalar
		err := node.Decode(&scalars)
		*l = scalars
		return err
	}
	*l = make(scalarList, 1)
	return (*l)[0].UnmarshalYAML(node)
}

func parse(file, name string, content []byte) (*Chart, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	var d document
	if err := decoder.Decode(&d); err != nil {
		return nil, decodeFindings(file, err).Err()
	}
	k := &checker{file: file, document: &d}
	k.run(name)
	if err := k.findings.Err(); err != nil {
		return nil, err
	}
	return k.build(), nil
}

// linePrefix matches the line number in the decoder's messages, which contain no
// other position.
var linePrefix = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// decodeFindings converts an error of the YAML decoder.
func decodeFindings(file string, err error) finding.List {
	messages := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		messages = typeError.Errors
	}
	var findings finding.List
	for _, message := range messages {
		f := finding.Finding{File: file, Message: message}
		if match := linePrefix.FindStringSubmatch(message); match != nil {
			f.Line, _ = strconv.Atoi(match[1])
			f.Column = 1
			f.Message = match[2]
		}
		findings = append(findings, f)
	}
	return findings
}
