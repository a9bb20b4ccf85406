package order

import (
	"cmp"
	"slices"
	"time"
)

// StoreModel is the model of a weight store with a limited rate, which running loads
// share equally. It predicts when loads end.
type StoreModel struct {
	// BytesPerSecond is the rate of the whole store.
	BytesPerSecond float64
	now            time.Time
	loads          []storeLoad
	ended          []string
}

type storeLoad struct {
	engine string
	left   float64
}

// Start begins a load. A second load of the same engine replaces its first one.
func (s *StoreModel) Start(now time.Time, engine string, bytes int64) {
	s.Cancel(now, engine)
	s.loads = append(s.loads, storeLoad{engine, float64(bytes)})
}

// Cancel ends a load that nobody waits for any more.
func (s *StoreModel) Cancel(now time.Time, engine string) {
	s.pass(now)
	s.remove(engine)
}

// Advance passes time and returns the engines whose loads have ended since the
// last call, in the order of their ends.
func (s *StoreModel) Advance(now time.Time) []string {
	s.pass(now)
	ended := s.ended
	s.ended = nil
	return ended
}

func (s *StoreModel) pass(now time.Time) {
	for len(s.loads) > 0 {
		next, at := s.NextCompletion()
		if at.After(now) {
			break
		}
		s.transfer(at)
		s.remove(next)
		s.ended = append(s.ended, next)
	}
	s.transfer(now)
}

func (s *StoreModel) remove(engine string) {
	s.loads = slices.DeleteFunc(s.loads, func(l storeLoad) bool { return l.engine == engine })
}

// NextCompletion returns the load that ends first and its end; the engine is empty when
// no load runs.
func (s *StoreModel) NextCompletion() (engine string, at time.Time) {
	if len(s.loads) == 0 {
		return "", time.Time{}
	}
	first := slices.MinFunc(s.loads, func(a, b storeLoad) int { return cmp.Compare(a.left, b.left) })
	seconds := first.left * float64(len(s.loads)) / s.BytesPerSecond
	return first.engine, s.now.Add(time.Duration(seconds * float64(time.Second)))
}

// transfer moves the clock forward without ending a load.
func (s *StoreModel) transfer(now time.Time) {
	if !now.After(s.now) {
		return
	}
	share := now.Sub(s.now).Seconds() * s.BytesPerSecond / float64(max(1, len(s.loads)))
	for i := range s.loads {
		s.loads[i].left = max(0, s.loads[i].left-share)
	}
	s.now = now
}
