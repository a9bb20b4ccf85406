package chart

import (
	"fmt"
	"regexp"

	"github.com/sapphirefield/sapphirefield/finding"
)

// namePattern keeps names usable as constants and as identifiers in diagrams.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// checker validates a chart file.
type checker struct {
	file     string
	document *document
	findings finding.List

	states map[string]int
	events map[string]int
	// successors and predecessors map each state to the targets and the sources
	// of its transitions.
	successors   map[string][]string
	predecessors map[string][]string
}

func (k *checker) run(name string) {
	k.states = map[string]int{}
	k.events = map[string]int{}
	k.successors = map[string][]string{}
	k.predecessors = map[string][]string{}
	if k.document.Name.value != name {
		k.addFinding(k.document.Name, "name", "must be %q, the name of the file", name)
	}
	k.collectNames()
	k.checkTransitions()
	// Without an initial state every state would be reported as unreachable.
	if k.checkInitial() {
		k.checkReachability()
	}
	k.checkEvents()
}

func (k *checker) collectNames() {
	for i, s := range k.document.States {
		k.addName(k.states, s.Name, fmt.Sprintf("states[%d].name", i), i)
	}
	for i, e := range k.document.Events {
		k.addName(k.events, e.Name, fmt.Sprintf("events[%d].name", i), i)
	}
}

func (k *checker) addName(index map[string]int, name scalar, path string, position int) {
	if !namePattern.MatchString(name.value) {
		k.addFinding(name, path, "%q is not a name of lower-case letters, digits and underscores", name.value)
	}
	if _, duplicate := index[name.value]; duplicate {
		k.addFinding(name, path, "%s is defined twice", name.value)
	}
	index[name.value] = position
}

func (k *checker) checkTransitions() {
	type pair struct{ from, event string }
	seen := map[pair]bool{}
	for i, t := range k.document.Transitions {
		path := fmt.Sprintf("transitions[%d]", i)
		k.checkKnown(k.states, t.To, path+".to", "state")
		k.checkKnown(k.events, t.Event, path+".event", "event")
		for _, from := range t.From {
			k.checkKnown(k.states, from, path+".from", "state")
			if key := (pair{from.value, t.Event.value}); seen[key] {
				k.addFinding(from, path+".from", "state %s has two transitions for event %s", from.value, t.Event.value)
			} else {
				seen[key] = true
			}
			k.successors[from.value] = append(k.successors[from.value], t.To.value)
			k.predecessors[t.To.value] = append(k.predecessors[t.To.value], from.value)
		}
	}
}

func (k *checker) checkKnown(names map[string]int, name scalar, path, kind string) {
	if _, ok := names[name.value]; !ok {
		k.addFinding(name, path, "unknown %s %q", kind, name.value)
	}
}

func (k *checker) checkInitial() bool {
	_, ok := k.states[k.document.Initial.value]
	if !ok {
		k.addFinding(k.document.Initial, "initial", "unknown state %q", k.document.Initial.value)
	}
	return ok
}

// checkReachability finds states that are unreachable from the initial state,
// states without outgoing transitions that are not final, final states with
// outgoing transitions, and states from which no final state can be reached
// although the chart has one.
func (k *checker) checkReachability() {
	reachable := reachableFrom(k.successors, k.document.Initial.value)
	var finalStates []string
	for _, s := range k.document.States {
		if s.Final {
			finalStates = append(finalStates, s.Name.value)
		}
	}
	canFinish := reachableFrom(k.predecessors, finalStates...)
	for i, s := range k.document.States {
		name, path := s.Name.value, fmt.Sprintf("states[%d]", i)
		hasTransitions := len(k.successors[name]) > 0
		switch {
		case !reachable[name]:
			k.addFinding(s.Name, path, "state %s is unreachable from %s", name, k.document.Initial.value)
		case s.Final && hasTransitions:
			k.addFinding(s.Name, path, "state %s is final but has a transition", name)
		case !s.Final && !hasTransitions:
			k.addFinding(s.Name, path, "state %s has no transition and is not final", name)
		case len(finalStates) > 0 && !canFinish[name]:
			k.addFinding(s.Name, path, "no final state can be reached from state %s", name)
		}
	}
}

// reachableFrom returns all states that can be reached along the edges from the
// given ones, which are included.
func reachableFrom(edges map[string][]string, from ...string) map[string]bool {
	reached := map[string]bool{}
	pending := append([]string(nil), from...)
	for len(pending) > 0 {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if reached[state] {
			continue
		}
		reached[state] = true
		pending = append(pending, edges[state]...)
	}
	return reached
}

func (k *checker) checkEvents() {
	used := map[string]bool{}
	for _, t := range k.document.Transitions {
		if len(t.From) > 0 {
			used[t.Event.value] = true
		}
	}
	for i, e := range k.document.Events {
		if !used[e.Name.value] {
			k.addFinding(e.Name, fmt.Sprintf("events[%d]", i), "event %s has no transition", e.Name.value)
		}
	}
}

func (k *checker) addFinding(where scalar, path, format string, args ...any) {
	k.findings = append(k.findings, finding.Finding{
		File: k.file, Line: where.line, Column: where.column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// build returns the chart of a document without findings.
func (k *checker) build() *Chart {
	d := k.document
	c := &Chart{name: d.Name.value, description: d.Description, interpretedBy: d.InterpretedBy, initial: State(d.Initial.value)}
	for _, s := range d.States {
		c.states = append(c.states, StateInfo{State(s.Name.value), s.Description, s.Final})
	}
	for _, e := range d.Events {
		c.events = append(c.events, EventInfo{Event(e.Name.value), e.Description})
	}
	for _, t := range d.Transitions {
		for _, from := range t.From {
			c.transitions = append(c.transitions, Transition{State(from.value), Event(t.Event.value), State(t.To.value)})
		}
	}
	c.compile()
	return c
}
