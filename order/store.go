package order

import (
	"cmp"
	"slices"
	"time"
)

// StoreModel models a weight store of limited bandwidth, which concurrent loads
// share equally. It predicts when loads complete.
type StoreModel struct {
	// BytesPerSecond is the total bandwidth.
	BytesPerSecond float64
	now            time.Time
	loads          []storeLoad
	completed      []string
}

type storeLoad struct {
	engine         string
	remainingBytes float64
}

// Start starts a load. It replaces a load of the same engine in progress.
func (s *StoreModel) Start(now time.Time, engine string, bytes int64) {
	s.Cancel(now, engine)
	s.loads = append(s.loads, storeLoad{engine, float64(bytes)})
}

// Cancel aborts the load of an engine, if any.
func (s *StoreModel) Cancel(now time.Time, engine string) {
	s.advanceTo(now)
	s.remove(engine)
}

// Advance moves the clock forward and returns the engines whose loads have
// completed since the last call, in order of completion.
func (s *StoreModel) Advance(now time.Time) []string {
	s.advanceTo(now)
	completed := s.completed
	s.completed = nil
	return completed
}

func (s *StoreModel) advanceTo(now time.Time) {
	for len(s.loads) > 0 {
		next, at := s.NextCompletion()
		if at.After(now) {
			break
		}
		s.transfer(at)
		s.remove(next)
		s.completed = append(s.completed, next)
	}
	s.transfer(now)
}

func (s *StoreModel) remove(engine string) {
	s.loads = slices.DeleteFunc(s.loads, func(l storeLoad) bool { return l.engine == engine })
}

// NextCompletion returns the engine whose load completes first and when; the engine is
// empty when there is no load.
func (s *StoreModel) NextCompletion() (engine string, at time.Time) {
	if len(s.loads) == 0 {
		return "", time.Time{}
	}
	first := slices.MinFunc(s.loads, func(a, b storeLoad) int { return cmp.Compare(a.remainingBytes, b.remainingBytes) })
	seconds := first.remainingBytes * float64(len(s.loads)) / s.BytesPerSecond
	return first.engine, s.now.Add(time.Duration(seconds * float64(time.Second)))
}

// transfer moves the clock forward and accounts for the bytes transferred. It
// removes no load.
func (s *StoreModel) transfer(now time.Time) {
	if !now.After(s.now) {
		return
	}
	share := now.Sub(s.now).Seconds() * s.BytesPerSecond / float64(max(1, len(s.loads)))
	for i := range s.loads {
		s.loads[i].remainingBytes = max(0, s.loads[i].remainingBytes-share)
	}
	s.now = now
}
