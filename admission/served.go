package admission

import (
	"math"
	"time"
)

// Least shares that a group of requests is served: relative to the share of all requests,
// and for sizes to that of their rank. The requests of a group below it go before all
// others. Sizes have
// a higher one, because a large request needs more than one try to find room.
const (
	minRankShare = 0.25
	minTeamShare = 0.25
	minSizeShare = 0.55
)

const (
	// minOutcomes is the number of requests after which a group's share is judged.
	minOutcomes = 3
	// maxSizeClass is the class of the largest requests.
	maxSizeClass = 2
	// forgottenOutcomes is the number below which a group is forgotten.
	forgottenOutcomes = 0.05
)

// outcomeCount counts started and refused requests; older ones count less.
type outcomeCount struct{ started, refused rateEstimator }

func newOutcomeCount(window time.Duration) *outcomeCount {
	return &outcomeCount{started: rateEstimator{window: window}, refused: rateEstimator{window: window}}
}

func (c *outcomeCount) add(now time.Time, started bool) {
	if started {
		c.started.add(now, 1)
	} else {
		c.refused.add(now, 1)
	}
}

// total returns the number of outcomes within the window.
func (c *outcomeCount) total(now time.Time) float64 {
	return (c.started.at(now) + c.refused.at(now)) * c.started.window.Seconds()
}

// share returns the fraction of requests that were started.
func (c *outcomeCount) share(now time.Time) float64 {
	started, refused := c.started.at(now), c.refused.at(now)
	if started+refused == 0 {
		return 1
	}
	return started / (started + refused)
}

// sizeGroup is a class of requests of a rank by their work.
type sizeGroup struct{ rank, class int }

// servedShares tells which groups of requests are served much less often than
// all. It answers a long burst in which the order alone would never serve the
// least urgent rank, one team or the largest requests.
type servedShares struct {
	window time.Duration
	all    *outcomeCount
	ranks  map[int]*outcomeCount
	teams  map[string]*outcomeCount
	sizes  map[sizeGroup]*outcomeCount
	// meanWork is the mean work of the requests of a rank.
	meanWork map[int]*ewma
	// behindRanks, behindTeams and behindSizes are the groups that are served much less
	// often than others.
	behindRanks map[int]bool
	behindTeams map[string]bool
	behindSizes map[sizeGroup]bool
	judged      time.Time
}

func newServedShares(window time.Duration) *servedShares {
	return &servedShares{
		window: window, all: newOutcomeCount(window), ranks: map[int]*outcomeCount{}, teams: map[string]*outcomeCount{},
		sizes: map[sizeGroup]*outcomeCount{}, meanWork: map[int]*ewma{},
		behindRanks: map[int]bool{}, behindTeams: map[string]bool{}, behindSizes: map[sizeGroup]bool{},
	}
}

// observe records the work of a request that arrives.
func (s *servedShares) observe(w *Waiting) {
	if s.meanWork[w.Rank] == nil {
		s.meanWork[w.Rank] = &ewma{}
	}
	s.meanWork[w.Rank].add(w.work())
}

// withdrawStart records that a started request was not served and waits again.
func (s *servedShares) withdrawStart(now time.Time, w *Waiting) {
	for _, c := range []*outcomeCount{
		s.all, groupCount(s.ranks, w.Rank, s.window), groupCount(s.teams, w.Team, s.window), groupCount(s.sizes, s.sizeGroup(w), s.window),
	} {
		// Earlier starts may have left the window.
		if c.started.at(now)*s.window.Seconds() >= 1 {
			c.started.add(now, -1)
		}
	}
}

// record records that a request was started or refused.
func (s *servedShares) record(now time.Time, w *Waiting, started bool) {
	if now.Sub(s.judged) >= s.window {
		// Teams are forgotten also while nothing waits.
		s.judge(now)
	}
	s.all.add(now, started)
	groupCount(s.ranks, w.Rank, s.window).add(now, started)
	groupCount(s.teams, w.Team, s.window).add(now, started)
	groupCount(s.sizes, s.sizeGroup(w), s.window).add(now, started)
}

func groupCount[K comparable](groups map[K]*outcomeCount, key K, window time.Duration) *outcomeCount {
	if groups[key] == nil {
		groups[key] = newOutcomeCount(window)
	}
	return groups[key]
}

// relativeWork returns a request's work relative to the mean of its rank.
func (s *servedShares) relativeWork(w *Waiting) float64 {
	mean := s.meanWork[w.Rank]
	if mean == nil {
		return 1
	}
	return w.work() / mean.valueOr(w.work())
}

func (s *servedShares) sizeGroup(w *Waiting) sizeGroup {
	return sizeGroup{w.Rank, int(math.Min(s.relativeWork(w), maxSizeClass))}
}

// judge decides which groups are served much less often than others.
func (s *servedShares) judge(now time.Time) {
	s.judged = now
	share := s.all.share(now)
	clear(s.behindRanks)
	clear(s.behindTeams)
	clear(s.behindSizes)
	judgeGroups(now, s.ranks, s.behindRanks, func(int) float64 { return minRankShare * share })
	judgeGroups(now, s.teams, s.behindTeams, func(string) float64 { return minTeamShare * share })
	judgeGroups(now, s.sizes, s.behindSizes, func(g sizeGroup) float64 {
		return minSizeShare * groupCount(s.ranks, g.rank, s.window).share(now)
	})
}

// judgeGroups notes the groups that are served less than their least share, and removes
// those without a recent request.
func judgeGroups[K comparable](now time.Time, groups map[K]*outcomeCount, behind map[K]bool, least func(K) float64) {
	for key, c := range groups {
		total := c.total(now)
		if total < forgottenOutcomes {
			delete(groups, key)
		}
		if total >= minOutcomes && c.share(now) < least(key) {
			behind[key] = true
		}
	}
}

// behind reports whether the rank, the team or the size of a request was served much
// less often than others when judge was called.
func (s *servedShares) behind(w *Waiting) bool {
	return s.behindRanks[w.Rank] || s.behindTeams[w.Team] || len(s.behindSizes) > 0 && s.behindSizes[s.sizeGroup(w)]
}
