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

// document is the form of a chart file.
type document struct {
	Name        text                 `yaml:"name"`
	About       string               `yaml:"about"`
	FollowedBy  string               `yaml:"followed_by"`
	Initial     text                 `yaml:"initial"`
	States      []documentState      `yaml:"states"`
	Events      []documentEvent      `yaml:"events"`
	Transitions []documentTransition `yaml:"transitions"`
}

type documentState struct {
	Name  text   `yaml:"name"`
	About string `yaml:"about"`
	Final bool   `yaml:"final"`
}

type documentEvent struct {
	Name  text   `yaml:"name"`
	About string `yaml:"about"`
}

type documentTransition struct {
	From  textList `yaml:"from"`
	Event text     `yaml:"event"`
	To    text     `yaml:"to"`
}

// text is a scalar that keeps its place.
type text struct {
	value        string
	line, column int
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (t *text) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind != yaml.ScalarNode {
		// The library collects errors of this type and goes on; any other type ends the decoding.
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: expected a name", node.Line)}}
	}
	*t = text{node.Value, node.Line, node.Column}
	return nil
}

// textList is one scalar or a sequence of them.
type textList []text

// UnmarshalYAML implements yaml.Unmarshaler.
func (l *textList) UnmarshalYAML(node *yaml.Node) error {
	if node.Kind == yaml.SequenceNode {
		var several []text
		err := node.Decode(&several)
		*l = several
		return err
	}
	*l = make(textList, 1)
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
	if err := k.found.Err(); err != nil {
		return nil, err
	}
	return k.chart(), nil
}

// linePrefix finds the line in the library's messages, which carry no other place.
var linePrefix = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

func decodeFindings(file string, err error) finding.List {
	messages := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		messages = typeError.Errors
	}
	var found finding.List
	for _, message := range messages {
		f := finding.Finding{File: file, Message: message}
		if match := linePrefix.FindStringSubmatch(message); match != nil {
			f.Line, _ = strconv.Atoi(match[1])
			f.Column = 1
			f.Message = match[2]
		}
		found = append(found, f)
	}
	return found
}
