package pipeline

import "fmt"

// NoPathError says where the search for a path ended and what kept the engines
// that hold the next layer from running it.
type NoPathError struct {
	// Layer is the first layer that no path reaches.
	Layer int
	// Holders counts the engines that hold the layer. The others count those of
	// them that could not take the request, by what they lack.
	Holders, Excluded, NoSlot, NoMemory, PromptsOverloaded int
	// LinksFull tells that links between zones without room kept paths from the layer.
	LinksFull bool
}

func (e *NoPathError) Error() string {
	return fmt.Sprintf("no path past layer %d: of %d engines %d avoided, %d without a slot, %d without memory, %d busy with prompts, links full: %t",
		e.Layer, e.Holders, e.Excluded, e.NoSlot, e.NoMemory, e.PromptsOverloaded, e.LinksFull)
}

// Is makes the error an ErrNoChain.
func (e *NoPathError) Is(target error) bool { return target == ErrNoChain }

// blocked says why the search has no path.
func (s *pathSearch) blocked() *NoPathError {
	at := 0
	for b := range s.boundaries {
		for _, st := range s.table[b] {
			if st.known {
				at = b
			}
		}
	}
	e := &NoPathError{Layer: s.boundaries[at]}
	for i := range s.engines {
		s.count(e, i, at)
	}
	e.LinksFull = e.Holders > e.Excluded+e.NoSlot+e.NoMemory+e.PromptsOverloaded
	return e
}

func (s *pathSearch) count(e *NoPathError, engine, at int) {
	held := &s.engines[engine]
	if held.First > e.Layer || held.Limit <= e.Layer {
		return
	}
	e.Holders++
	switch {
	case s.request.Exclude[held.Name]:
		e.Excluded++
	case !s.usable(engine, at):
		e.NoSlot++
	case held.PromptLoad > s.limit(maxPromptLoad):
		e.PromptsOverloaded++
	default:
		if _, fits := s.work(held, 1); !fits {
			e.NoMemory++
		}
	}
}
