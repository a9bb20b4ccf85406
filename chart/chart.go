// Package chart interprets state charts that are kept in YAML files. The code
// that follows a chart asks it for each next state, so the file is the only
// place where the allowed transitions are written down.
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
	// Final is set for a state that nothing leaves.
	Final bool
}

// EventInfo describes an event.
type EventInfo struct {
	Name        Event
	Description string
}

// Transition is one allowed step.
type Transition struct {
	From  State
	Event Event
	To    State
}

// Chart is a checked state chart. It never changes after Load and may be used
// by several goroutines.
type Chart struct {
	name        string
	about       string
	followedBy  string
	initial     State
	states      []StateInfo
	events      []EventInfo
	transitions []Transition

	rows    map[State]int
	columns map[Event]int
	// cells holds one cell for each state and event, row by row.
	cells []cell
}

// cell is the outcome of one event in one state. The error is made once at
// load, so that a refused event allocates nothing.
type cell struct {
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

// Load reads and checks the chart name.yaml. The error carries all findings
// with their places.
func Load(files fs.FS, name string) (*Chart, error) {
	file := name + extension
	text, err := fs.ReadFile(files, file)
	if err != nil {
		return nil, err
	}
	return parse(file, name, text)
}

// Next returns the state that follows when the event happens in the state. An
// event that the chart does not allow there gives a *EventNotAllowedError and leaves
// the state as it is.
func (c *Chart) Next(state State, event Event) (State, error) {
	row, knownState := c.rows[state]
	column, knownEvent := c.columns[event]
	if !knownState || !knownEvent {
		return state, &EventNotAllowedError{c.name, state, event}
	}
	found := &c.cells[row*len(c.events)+column]
	return found.to, found.err
}

// Initial returns the state in which every instance of the chart begins.
func (c *Chart) Initial() State { return c.initial }

// Name returns the name of the chart.
func (c *Chart) Name() string { return c.name }

// Description describes what the chart governs.
func (c *Chart) Description() string { return c.about }

// InterpretedBy names the package that takes its transitions from the chart; it is
// empty for a chart that only describes behaviour.
func (c *Chart) InterpretedBy() string { return c.followedBy }

// LoadEmbedded loads a chart of this module and compares it with the names that
// the calling package knows.
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

// IsFinal tells whether nothing leaves the state.
func (c *Chart) IsFinal(state State) bool {
	row, known := c.rows[state]
	return known && c.states[row].Final
}

// CheckNames compares the chart with the names that a program knows. A name on one
// side only means that the program and its chart have drifted apart.
func (c *Chart) CheckNames(states []State, events []Event) error {
	var found finding.List
	compare(&found, "states", c.rows, states)
	compare(&found, "events", c.columns, events)
	return found.Err()
}

func compare[T ~string](found *finding.List, path string, chart map[T]int, program []T) {
	known := map[T]bool{}
	for _, name := range program {
		known[name] = true
		if _, ok := chart[name]; !ok {
			found.Add(path, "the program uses %s, which the chart lacks", name)
		}
	}
	for name := range chart {
		if !known[name] {
			found.Add(path, "the chart has %s, which the program lacks", name)
		}
	}
}

// compile fills the lookup table.
func (c *Chart) compile() {
	c.rows = make(map[State]int, len(c.states))
	c.columns = make(map[Event]int, len(c.events))
	for i, s := range c.states {
		c.rows[s.Name] = i
	}
	for i, e := range c.events {
		c.columns[e.Name] = i
	}
	c.cells = make([]cell, len(c.states)*len(c.events))
	for row, s := range c.states {
		for column, e := range c.events {
			refused := &EventNotAllowedError{c.name, s.Name, e.Name}
			c.cells[row*len(c.events)+column] = cell{to: s.Name, err: refused}
		}
	}
	for _, t := range c.transitions {
		c.cells[c.rows[t.From]*len(c.events)+c.columns[t.Event]] = cell{to: t.To}
	}
}
