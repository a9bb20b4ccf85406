package chart

import (
	"fmt"
	"regexp"

	"github.com/sapphirefield/sapphirefield/finding"
)

// namePattern keeps names usable as constants and as identifiers in diagrams.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_]*$`)

// checker applies the rules that a chart must meet before it may be used.
type checker struct {
	file     string
	document *document
	found    finding.List

	states map[string]int
	events map[string]int
	// leaves and enters hold the targets and sources of each state's transitions.
	leaves map[string][]string
	enters map[string][]string
}

func (k *checker) run(name string) {
	k.states = map[string]int{}
	k.events = map[string]int{}
	k.leaves = map[string][]string{}
	k.enters = map[string][]string{}
	if k.document.Name.value != name {
		k.add(k.document.Name, "name", "must be %q, the name of the file", name)
	}
	k.collectNames()
	k.checkTransitions()
	// Without an initial state every state would be reported as unreachable.
	if k.checkInitial() {
		k.checkReach()
	}
	k.checkEvents()
}

func (k *checker) collectNames() {
	for i, s := range k.document.States {
		k.collect(k.states, s.Name, fmt.Sprintf("states[%d].name", i), i)
	}
	for i, e := range k.document.Events {
		k.collect(k.events, e.Name, fmt.Sprintf("events[%d].name", i), i)
	}
}

func (k *checker) collect(into map[string]int, name text, path string, index int) {
	if !namePattern.MatchString(name.value) {
		k.add(name, path, "%q is not a name of lower-case letters, digits and underscores", name.value)
	}
	if _, twice := into[name.value]; twice {
		k.add(name, path, "%s is defined twice", name.value)
	}
	into[name.value] = index
}

func (k *checker) checkTransitions() {
	type pair struct{ from, event string }
	seen := map[pair]bool{}
	for i, t := range k.document.Transitions {
		path := fmt.Sprintf("transitions[%d]", i)
		k.known(k.states, t.To, path+".to", "state")
		k.known(k.events, t.Event, path+".event", "event")
		for _, from := range t.From {
			k.known(k.states, from, path+".from", "state")
			if key := (pair{from.value, t.Event.value}); seen[key] {
				k.add(from, path+".from", "state %s has two transitions for event %s", from.value, t.Event.value)
			} else {
				seen[key] = true
			}
			k.leaves[from.value] = append(k.leaves[from.value], t.To.value)
			k.enters[t.To.value] = append(k.enters[t.To.value], from.value)
		}
	}
}

func (k *checker) known(names map[string]int, name text, path, what string) {
	if _, ok := names[name.value]; !ok {
		k.add(name, path, "unknown %s %q", what, name.value)
	}
}

func (k *checker) checkInitial() bool {
	_, ok := k.states[k.document.Initial.value]
	if !ok {
		k.add(k.document.Initial, "initial", "unknown state %q", k.document.Initial.value)
	}
	return ok
}

// checkReach finds states that no run enters, states that no run can leave
// although they are not final, and states from which no final state can be
// reached although the chart has one.
func (k *checker) checkReach() {
	entered := spread(k.leaves, k.document.Initial.value)
	var finals []string
	for _, s := range k.document.States {
		if s.Final {
			finals = append(finals, s.Name.value)
		}
	}
	ends := spread(k.enters, finals...)
	for i, s := range k.document.States {
		name, path := s.Name.value, fmt.Sprintf("states[%d]", i)
		leaves := len(k.leaves[name]) > 0
		switch {
		case !entered[name]:
			k.add(s.Name, path, "state %s is unreachable from %s", name, k.document.Initial.value)
		case s.Final && leaves:
			k.add(s.Name, path, "state %s is final but has a transition", name)
		case !s.Final && !leaves:
			k.add(s.Name, path, "state %s has no transition and is not final", name)
		case len(finals) > 0 && !ends[name]:
			k.add(s.Name, path, "no final state can be reached from state %s", name)
		}
	}
}

// spread returns all states that can be reached from the given ones along the edges.
func spread(edges map[string][]string, from ...string) map[string]bool {
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
			k.add(e.Name, fmt.Sprintf("events[%d]", i), "event %s has no transition", e.Name.value)
		}
	}
}

func (k *checker) add(at text, path, format string, args ...any) {
	k.found = append(k.found, finding.Finding{
		File: k.file, Line: at.line, Column: at.column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// chart builds the chart from a document without findings.
func (k *checker) chart() *Chart {
	d := k.document
	c := &Chart{name: d.Name.value, about: d.About, followedBy: d.FollowedBy, initial: State(d.Initial.value)}
	for _, s := range d.States {
		c.states = append(c.states, StateInfo{State(s.Name.value), s.About, s.Final})
	}
	for _, e := range d.Events {
		c.events = append(c.events, EventInfo{Event(e.Name.value), e.About})
	}
	for _, t := range d.Transitions {
		for _, from := range t.From {
			c.transitions = append(c.transitions, Transition{State(from.value), Event(t.Event.value), State(t.To.value)})
		}
	}
	c.compile()
	return c
}
