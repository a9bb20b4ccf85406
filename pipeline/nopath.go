package pipeline

import "fmt"

// NoPathError reports how far the search for a path came, and why the engines
// that hold the next layer cannot run it.
type NoPathError struct {
	// Layer is the first layer that no path covers.
	Layer int
	// Holders is the number of engines that hold the layer. The others count those
	// of them that cannot accept the request, by reason: they are excluded, have no
	// free slot, lack memory, or exceed the load limit for prompts.
	Holders, Excluded, NoSlot, NoMemory, PromptsOverloaded int
	// LinksFull is set if overloaded links between zones keep paths from the layer.
	LinksFull bool
}

func (e *NoPathError) Error() string {
	return fmt.Sprintf("no path past layer %d: %d engines hold it, %d excluded, %d without a free slot, %d without memory, %d overloaded with prompts; links overloaded: %t",
		e.Layer, e.Holders, e.Excluded, e.NoSlot, e.NoMemory, e.PromptsOverloaded, e.LinksFull)
}

// Is reports whether target is ErrNoChain.
func (e *NoPathError) Is(target error) bool { return target == ErrNoChain }

// noPathError returns the reason why the search found no path.
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
	e.LinksFull = e.Holders > e.Excluded+e.NoSlot+e.NoMemory+e.PromptsOverloaded
	return e
}

func (s *pathSearch) countEngine(e *NoPathError, engine, boundary int) {
	candidate := &s.engines[engine]
	if candidate.First > e.Layer || candidate.Limit <= e.Layer {
		return
	}
	e.Holders++
	switch {
	case s.request.Exclude[candidate.Name]:
		e.Excluded++
	case !s.usable(engine, boundary):
		e.NoSlot++
	case candidate.PromptLoad > s.loadLimit(maxPromptLoad):
		e.PromptsOverloaded++
	default:
		if _, fits := s.engineSeconds(candidate, 1); !fits {
			e.NoMemory++
		}
	}
}
