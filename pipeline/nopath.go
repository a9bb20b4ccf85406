package pipeline

import "fmt"

// NoPathError says where the search for a path ended and what kept the engines
// that hold the next layer from running it.
type NoPathError struct {
	// Layer is the first layer that no path reaches.
	Layer int
	// Holding counts the engines that hold the layer. The others count those of
	// them that could not take the request, by what they lack.
	Holding, Avoided, Slots, Memory, PromptTime int
	// Links tells that links between zones without room kept paths from the layer.
	Links bool
}

func (e *NoPathError) Error() string {
	return fmt.Sprintf("no path past layer %d: of %d engines %d avoided, %d without a slot, %d without memory, %d busy with prompts, links full: %t",
		e.Layer, e.Holding, e.Avoided, e.Slots, e.Memory, e.PromptTime, e.Links)
}

// Is makes the error an ErrNoChain.
func (e *NoPathError) Is(target error) bool { return target == ErrNoChain }

// noPathError says why the search has no path.
func (s *pathSearch) noPathError() *NoPathError {
	furthest := 0
	for b := range s.boundaries {
		for _, st := range s.states[b] {
			if st.known {
				furthest = b
			}
		}
	}
	e := &NoPathError{Layer: s.boundaries[furthest]}
	for i := range s.engines {
		s.countEngine(e, i, furthest)
	}
	e.Links = e.Holding > e.Avoided+e.Slots+e.Memory+e.PromptTime
	return e
}

func (s *pathSearch) countEngine(e *NoPathError, engine, boundary int) {
	candidate := &s.engines[engine]
	if candidate.First > e.Layer || candidate.Limit <= e.Layer {
		return
	}
	e.Holding++
	switch {
	case s.request.Avoid[candidate.Name]:
		e.Avoided++
	case !s.usable(engine, boundary):
		e.Slots++
	case candidate.PromptLoad > s.loadLimit(maxPromptLoad):
		e.PromptTime++
	default:
		if _, fits := s.engineSeconds(candidate, 1); !fits {
			e.Memory++
		}
	}
}
