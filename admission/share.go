package admission

import (
	"math"
	"time"
)

// shareLimiter computes one entry's share of the capacity, its limit. Each load
// report scales the limit by the ratio of target to reported load and adds a
// little growth in proportion to the entry's own demand. In equilibrium the limits
// of all entries are proportional to their demand, although no entry knows the
// demand of another.
type shareLimiter struct {
	options       Options
	capacity      Capacity
	limit         float64
	demand        rateEstimator
	lastReport    time.Time
	lastReduction time.Time
	// averageRunning is the entry's running cost averaged over averageRunningWindow.
	averageRunning float64
	// offset reduces the target load. It is the logarithm of a ratio.
	offset float64
}

const (
	// The rates are per second rather than per report, because each sidecar reports
	// separately and the number of sidecars varies. They are below the reciprocal of
	// the age of the reports, which is about a second; a faster correction would be
	// applied several times for the same load.

	// correctionRate is the exponent per second of the ratio of target to reported load.
	correctionRate = 0.8
	// growthRate is the fraction of the entry's demand added to the limit per second.
	// It makes the limits converge to shares in proportion to demand, within about
	// half a minute when demand is three times the capacity.
	growthRate = 0.03
	// offsetRate and offsetWindow are the gain and the time constant of a leaky
	// integrator that cancels the load added by the growth. All entries see the same
	// load, so their offsets agree and do not distort the shares.
	offsetRate   = 0.1
	offsetWindow = time.Minute
	maxOffset    = 0.3
	// freeCapacityRate is the fraction of an equal share of the free capacity that is
	// added to the limit per second. The correction alone is small for a small limit.
	freeCapacityRate = 0.6
	// maxRatio bounds the ratio of target to reported load when there is almost no load.
	maxRatio = 2
	// averageRunningWindow is the time constant of the average of the entry's running cost.
	averageRunningWindow = 2 * time.Second
	// maxReportStep bounds the time that one report accounts for.
	maxReportStep = time.Second
	// refusalFactor multiplies the limit when an overloaded backend server refuses work.
	refusalFactor = 0.95
	// minRefusalInterval is the minimum time between reductions; one overload causes many refusals.
	minRefusalInterval = 200 * time.Millisecond
	// burstMinFree and burstFullFree are the fractions of free capacity at which the
	// burst allowance starts and is complete. Within the allowance an entry may run
	// a few requests beyond its share, so that requests start at once on an idle
	// system. With less free capacity, many entries doing so would overload it.
	burstMinFree, burstFullFree = 0.2, 0.5
)

func (s *shareLimiter) entries() int {
	return max(s.capacity.Entries, 1)
}

func (s *shareLimiter) targetLoad() float64 {
	return s.capacity.Units * s.options.TargetUtilization
}

// setCapacity scales the limit with the capacity, or sets it to an equal share if there is no load report.
func (s *shareLimiter) setCapacity(capacity Capacity) {
	oldUnits := s.capacity.Units
	s.capacity = capacity
	if oldUnits <= 0 || s.limit <= 0 || s.lastReport.IsZero() {
		s.limit = s.equalShare()
		return
	}
	s.limit *= capacity.Units / oldUnits
}

func (s *shareLimiter) equalShare() float64 {
	return max(s.targetLoad(), 0) / float64(s.entries())
}

// expireReport resets the limit to an equal share if the last load report is too old.
func (s *shareLimiter) expireReport(now time.Time) {
	if s.lastReport.IsZero() || now.Sub(s.lastReport) <= s.options.LoadMaxAge {
		return
	}
	s.lastReport = time.Time{}
	s.limit = s.equalShare()
}

// observeLoad adjusts the limit to a load report. ownRunning is the entry's running
// cost, which is part of the reported load; demand is the cost that the entry would
// run concurrently if it were not limited.
func (s *shareLimiter) observeLoad(now time.Time, load Load, ownRunning, demand float64) {
	step := 0.0
	if !s.lastReport.IsZero() {
		step = min(max(now.Sub(s.lastReport), 0), maxReportStep).Seconds()
	}
	s.lastReport = now
	s.averageRunning += (ownRunning - s.averageRunning) * (1 - math.Exp(-step/averageRunningWindow.Seconds()))
	totalLoad := max(load.Running+load.Queued, ownRunning)
	// Long requests keep running after the limit is reduced. Scaling the limit again
	// for the same load would reduce it to almost 0, so it starts from the running cost.
	limit := max(s.limit, ownRunning) + growthRate*step*demand
	limit *= math.Pow(s.correctionRatio(totalLoad, step), correctionRate*step)
	if free := s.targetLoad() - totalLoad; free > 0 {
		limit = s.useFreeCapacity(limit, step, free, totalLoad, ownRunning, demand)
	}
	s.limit = min(max(limit, s.minLimit()), s.capacity.Units)
}

// correctionRatio returns the ratio of target to reported load, reduced by the offset.
func (s *shareLimiter) correctionRatio(totalLoad, step float64) float64 {
	ratio := maxRatio * 1.0
	if totalLoad > 0 {
		ratio = min(s.targetLoad()/totalLoad, ratio)
	}
	if ratio <= 0 {
		return 0
	}
	logExcess := -math.Log(ratio)
	s.offset += step * (offsetRate*logExcess - s.offset/offsetWindow.Seconds())
	s.offset = min(max(s.offset, 0), maxOffset)
	return ratio * math.Exp(-s.offset)
}

// useFreeCapacity raises the limit in proportion to the free capacity and bounds the
// increase by the entry's share of it. Without the bound, limits would grow while
// the load is light, and a simultaneous burst on all entries would overload the
// backend servers before the next report. The bound starts from the average running
// cost, so that an entry whose running cost varies does not lose its usual limit.
func (s *shareLimiter) useFreeCapacity(limit, step, free, totalLoad, ownRunning, demand float64) float64 {
	portion := 1 / float64(s.entries())
	limit += freeCapacityRate * step * free * portion
	if totalLoad > 0 {
		portion = max(portion, ownRunning/totalLoad)
	}
	burstFraction := (free/s.capacity.Units - burstMinFree) / (burstFullFree - burstMinFree)
	burst := min(max(burstFraction, 0), 1) * (1 + math.Sqrt(demand))
	maxLimit := max(ownRunning, s.averageRunning) + free*min(portion, 1) + growthRate*maxReportStep.Seconds()*demand
	return max(min(limit, maxLimit), ownRunning+burst)
}

// minLimit returns the lowest limit. Scaling could not raise a limit of 0.
func (s *shareLimiter) minLimit() float64 {
	const minShareFraction = 0.05
	return s.equalShare() * minShareFraction
}

// reduceOnRefusal lowers the limit after an overloaded backend server refused a request.
func (s *shareLimiter) reduceOnRefusal(now time.Time) {
	if now.Sub(s.lastReduction) < minRefusalInterval {
		return
	}
	s.lastReduction = now
	s.limit = max(s.limit*refusalFactor, s.minLimit())
}
