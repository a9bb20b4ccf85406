package admission

import (
	"math"
	"time"
)

// share derives one entry's part of the capacity. Every load report corrects the
// limit by the ratio between wanted and reported load and raises it a little in
// proportion to the entry's own demand. Where the two balance, the limits of all
// entries stand in proportion to their demand, although no entry knows another's.
type share struct {
	options  Options
	capacity Capacity
	limit    float64
	demand   rateEstimate
	observed time.Time
	reduced  time.Time
}

const (
	// correctionGain dampens the correction, because a report describes the load
	// of some reports ago and a full correction would be applied several times.
	correctionGain = 0.3
	// growthPerReport is the part of the entry's demand that each report adds to the
	// limit. With demand at three times the capacity it raises the load by 6%.
	growthPerReport = 0.006
	// refusalFactor lowers the limit when a backend server refuses work for load.
	refusalFactor = 0.95
	// refusalPause is how often refusals may lower the limit; one overload causes many refusals.
	refusalPause = 200 * time.Millisecond
	// roomGain is the part of an entry's portion of the free capacity that it takes
	// with each report; the reports lag, so the same room shows in several of them.
	roomGain = 0.12
	// Between burstFloor and burstFull free, as fractions of the capacity, an entry
	// may run a few requests without regard to its share, so that requests pass at
	// once on an idle system. With less room, many entries doing so would overload it.
	burstFloor, burstFull = 0.2, 0.5
)

func (s *share) entries() int {
	return max(s.capacity.Entries, 1)
}

func (s *share) wanted() float64 {
	return s.capacity.Units * s.options.Utilization
}

// setCapacity scales the limit with the capacity, or starts from an equal share.
func (s *share) setCapacity(capacity Capacity) {
	old := s.capacity.Units
	s.capacity = capacity
	if old <= 0 || s.limit <= 0 || s.observed.IsZero() {
		s.limit = s.equal()
		return
	}
	s.limit *= capacity.Units / old
}

func (s *share) equal() float64 {
	return max(s.wanted(), 0) / float64(s.entries())
}

// expire falls back to an equal share when load reports have stopped.
func (s *share) expire(now time.Time) {
	if s.observed.IsZero() || now.Sub(s.observed) <= s.options.LoadMaxAge {
		return
	}
	s.observed = time.Time{}
	s.limit = s.equal()
}

// observe corrects the limit by a load report. Own is the entry's running cost,
// which is part of the reported load; demand is the cost it would run at once if it were not limited.
func (s *share) observe(now time.Time, load Load, own, demand float64) {
	s.observed = now
	used := max(load.Running+load.Queued, own)
	room := s.wanted() - used
	limit := s.corrected(used, own, demand)
	if room > 0 {
		limit = s.withRoom(limit, room, used, own, demand)
	}
	s.limit = min(max(limit, s.smallest()), s.capacity.Units)
}

// corrected scales the limit towards the wanted load. The base is the running
// cost while it exceeds the limit: long requests keep running after the limit
// fell, and scaling the limit again for the same load would bring it to nothing.
func (s *share) corrected(used, own, demand float64) float64 {
	base := max(s.limit, own)
	ratio := 2.0
	if used > 0 {
		ratio = min(s.wanted()/used, ratio)
	}
	return base*math.Pow(max(ratio, 0), correctionGain) + growthPerReport*demand
}

// withRoom bounds the limit by the free capacity. Without the bound, limits
// would grow while the load is light, and a burst on all entries at once would
// overload the backend servers before the next report.
func (s *share) withRoom(limit, room, used, own, demand float64) float64 {
	part := 1 / float64(s.entries())
	if used > 0 {
		part = max(part, own/used)
	}
	free := (room/s.capacity.Units - burstFloor) / (burstFull - burstFloor)
	burst := min(max(free, 0), 1) * (1 + math.Sqrt(demand))
	allowance := max(roomGain*room*min(part, 1), burst)
	most := own + allowance + growthPerReport*demand
	return max(min(limit, most), own+allowance)
}

// smallest keeps a limit from falling to nothing, from which no scaling would raise it.
func (s *share) smallest() float64 {
	const fractionOfEqual = 0.05
	return s.equal() * fractionOfEqual
}

// refused lowers the limit on direct evidence of overload.
func (s *share) refused(now time.Time) {
	if now.Sub(s.reduced) < refusalPause {
		return
	}
	s.reduced = now
	s.limit = max(s.limit*refusalFactor, s.smallest())
}
