// Package chart interprets state charts that are defined in YAML files. The
// program looks up each next state in the chart, so the allowed transitions are
// defined in the file only.
package chart

import (
	"embed"
	"fmt"
	"io/fs"

	"github.com/sapphirefield/sapphirefield/finding"
)

//go:embed charts/*.yaml
var embedded embed.FS

// State names a state of a chart.
type State string

// Event names an event of a chart.
type Event string

// StateInfo describes a state.
type StateInfo struct {
	Name        State
	Description string
	// Final is set for a state without outgoing transitions.
	Final bool
}

// EventInfo describes an event.
type EventInfo struct {
	Name        Event
	Description string
}

// Transition is one allowed change from one state to another.
type Transition struct {
	From  State
	Event Event
	To    State
}

// Chart is a validated state chart. It is immutable and safe for concurrent use.
type Chart struct {
	name          string
	description   string
	interpretedBy string
	initial       State
	states        []StateInfo
	events        []EventInfo
	transitions   []Transition

	stateIndex map[State]int
	eventIndex map[Event]int
	// outcomes is a table with one row per state and one column per event, stored
	// row by row.
	outcomes []outcome
}

// outcome is the result of one event in one state. The error is allocated when
// the chart is loaded, so that Next does not allocate.
type outcome struct {
	to  State
	err error
}

// EventNotAllowedError reports an event that the chart does not allow in a state.
type EventNotAllowedError struct {
	Chart string
	State State
	Event Event
}

// Error names the chart, the state and the event.
func (e *EventNotAllowedError) Error() string {
	return fmt.Sprintf("chart %s: event %s is not allowed in state %s", e.Chart, e.Event, e.State)
}

// Files returns the embedded chart files.
func Files() fs.FS {
	// The directory is embedded, so the sub-tree always exists.
	files, err := fs.Sub(embedded, "charts")
	if err != nil {
		panic(err)
	}
	return files
}

// Names returns the names of the charts in files, in alphabetical order.
func Names(files fs.FS) ([]string, error) {
	paths, err := fs.Glob(files, "*"+extension)
	if err != nil {
		return nil, err
	}
	names := make([]string, len(paths))
	for i, path := range paths {
		names[i] = path[:len(path)-len(extension)]
	}
	return names, nil
}

// Load reads and validates the chart name.yaml. The error contains all findings
// with their positions.
func Load(files fs.FS, name string) (*Chart, error) {
	file := name + extension
	text, err := fs.ReadFile(files, file)
	if err != nil {
		return nil, err
	}
	return parse(file, name, text)
}

// Next returns the state after an event. If the chart does not allow the event
// in the state, Next returns the unchanged state and a *EventNotAllowedError.
func (c *Chart) Next(state State, event Event) (State, error) {
	row, knownState := c.stateIndex[state]
	column, knownEvent := c.eventIndex[event]
	if !knownState || !knownEvent {
		return state, &EventNotAllowedError{c.name, state, event}
	}
	result := &c.outcomes[row*len(c.events)+column]
	return result.to, result.err
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// Description returns a description of what the chart models.
func (c *Chart) Description() string { return c.description }

// InterpretedBy returns the name of the package that interprets the chart, or an
// empty string for a chart that only documents behaviour.
func (c *Chart) InterpretedBy() string { return c.interpretedBy }

// LoadEmbedded loads a chart of this module and compares its states and events
// with those of the calling package.
func LoadEmbedded(name string, states []State, events []Event) (*Chart, error) {
	c, err := Load(Files(), name)
	if err != nil {
		return nil, err
	}
	return c, c.CheckNames(states, events)
}

// States returns all states in the order of the file.
func (c *Chart) States() []StateInfo { return append([]StateInfo(nil), c.states...) }

// Events returns all events in the order of the file.
func (c *Chart) Events() []EventInfo { return append([]EventInfo(nil), c.events...) }

// Transitions returns all transitions in the order of the file.
func (c *Chart) Transitions() []Transition { return append([]Transition(nil), c.transitions...) }

// IsFinal reports whether the state is final.
func (c *Chart) IsFinal(state State) bool {
	row, known := c.stateIndex[state]
	return known && c.states[row].Final
}

// CheckNames returns an error if the chart and the program do not have the same
// states and events, which means that one was changed without the other.
func (c *Chart) CheckNames(states []State, events []Event) error {
	var findings finding.List
	compareNames(&findings, "states", c.stateIndex, states)
	compareNames(&findings, "events", c.eventIndex, events)
	return findings.Err()
}

func compareNames[T ~string](findings *finding.List, path string, chartNames map[T]int, programNames []T) {
	inProgram := map[T]bool{}
	for _, name := range programNames {
		inProgram[name] = true
		if _, ok := chartNames[name]; !ok {
			findings.Add(path, "the program uses %s, which the chart lacks", name)
		}
	}
	for name := range chartNames {
		if !inProgram[name] {
			findings.Add(path, "the chart has %s, which the program lacks", name)
		}
	}
}

// compile builds the lookup table of Next.
func (c *Chart) compile() {
	c.stateIndex = make(map[State]int, len(c.states))
	c.eventIndex = make(map[Event]int, len(c.events))
	for i, s := range c.states {
		c.stateIndex[s.Name] = i
	}
	for i, e := range c.events {
		c.eventIndex[e.Name] = i
	}
	c.outcomes = make([]outcome, len(c.states)*len(c.events))
	for row, s := range c.states {
		for column, e := range c.events {
			notAllowed := &EventNotAllowedError{c.name, s.Name, e.Name}
			c.outcomes[row*len(c.events)+column] = outcome{to: s.Name, err: notAllowed}
		}
	}
	for _, t := range c.transitions {
		c.outcomes[c.stateIndex[t.From]*len(c.events)+c.eventIndex[t.Event]] = outcome{to: t.To}
	}
}
