package fleet

import (
	"time"

	"github.com/sapphirefield/sapphirefield/pipeline"
)

// roundRobin is a router that cycles through the stages of each layer range.
type roundRobin struct {
	layers  int
	byFirst map[int][]pipeline.Stage
	next    map[int]int
}

func newRoundRobin(layers int, stages []pipeline.Stage) *roundRobin {
	r := &roundRobin{layers: layers, byFirst: map[int][]pipeline.Stage{}, next: map[int]int{}}
	for _, s := range stages {
		r.byFirst[s.First] = append(r.byFirst[s.First], s)
	}
	return r
}

// Choose returns the next chain in rotation; it ignores the request.
func (r *roundRobin) Choose(_ pipeline.Request, exclude map[string]bool) (pipeline.Chain, error) {
	return buildChain(r.layers, func(first int) (pipeline.Stage, bool) {
		for range r.byFirst[first] {
			s := r.byFirst[first][r.next[first]%len(r.byFirst[first])]
			r.next[first]++
			if !exclude[s.Instance] {
				return s, true
			}
		}
		return pipeline.Stage{}, false
	})
}

func (r *roundRobin) Done(pipeline.Chain)                              {}
func (r *roundRobin) Observe(pipeline.Load)                            {}
func (r *roundRobin) ObserveLink(string, string, int64, time.Duration) {}

// leastLoaded is a router that picks, for each layer range, the stage with the
// fewest requests according to load reports and its own choices since then.
type leastLoaded struct {
	layers  int
	byFirst map[int][]pipeline.Stage
	load    map[string]int
}

func newLeastLoaded(layers int, stages []pipeline.Stage) *leastLoaded {
	l := &leastLoaded{layers: layers, byFirst: map[int][]pipeline.Stage{}, load: map[string]int{}}
	for _, s := range stages {
		l.byFirst[s.First] = append(l.byFirst[s.First], s)
	}
	return l
}

// Choose returns the least loaded chain; it ignores the request.
func (l *leastLoaded) Choose(_ pipeline.Request, exclude map[string]bool) (pipeline.Chain, error) {
	return buildChain(l.layers, func(first int) (pipeline.Stage, bool) {
		best, found := pipeline.Stage{}, false
		for _, s := range l.byFirst[first] {
			if !exclude[s.Instance] && (!found || l.load[s.Instance] < l.load[best.Instance]) {
				best, found = s, true
			}
		}
		l.load[best.Instance]++
		return best, found
	})
}

// Done removes a finished request from the load of the chain's stages.
func (l *leastLoaded) Done(chain pipeline.Chain) {
	for _, s := range chain.Stages {
		l.load[s.Instance]--
	}
}

// Observe replaces the instance's request count with the reported one.
func (l *leastLoaded) Observe(load pipeline.Load) {
	l.load[load.Instance] = load.Running
}

// ObserveLink does nothing; links are not taken into account.
func (l *leastLoaded) ObserveLink(string, string, int64, time.Duration) {}

func buildChain(layers int, pick func(first int) (pipeline.Stage, bool)) (pipeline.Chain, error) {
	var chain pipeline.Chain
	for next := 0; next < layers; {
		s, found := pick(next)
		if !found {
			return pipeline.Chain{}, pipeline.ErrNoChain
		}
		chain.Stages = append(chain.Stages, s)
		next = s.Limit
	}
	return chain, nil
}
