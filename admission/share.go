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
	// usual is the entry's running cost averaged over usualWindow.
	usual float64
	// offset lowers the wanted load, as the logarithm of a ratio.
	offset float64
}

const (
	// The rates are per second and not per report, because every sidecar reports by
	// itself and the number of sidecars differs. They are below one over the age
	// of the reports, about a second; a faster correction would be applied several times for one load.

	// correctionRate is the exponent of the ratio between wanted and reported load.
	correctionRate = 0.8
	// growthRate is the part of the entry's demand that is added to the limit. It
	// draws the limits towards shares in proportion to demand, within about half
	// a minute when demand is three times the capacity.
	growthRate = 0.03
	// offsetRate and offsetWindow take back what the growth adds to the load. All
	// entries see the same load, so their offsets agree and do not disturb the shares.
	offsetRate   = 0.1
	offsetWindow = time.Minute
	maxOffset    = 0.3
	// roomRate is the part of an equal portion of the free capacity that an entry
	// takes besides the correction, which is small for an entry with a small limit.
	roomRate = 0.6
	// maxRatio bounds the ratio of wanted to reported load when there is almost no load.
	maxRatio = 2
	// usualWindow is the time constant for the entry's usual running cost.
	usualWindow = 2 * time.Second
	// longestStep bounds the time that one report stands for.
	longestStep = time.Second
	// refusalFactor lowers the limit when a backend server refuses work for load.
	refusalFactor = 0.95
	// refusalPause is how often refusals may lower the limit; one overload causes many refusals.
	refusalPause = 200 * time.Millisecond
	// Between burstFloor and burstFull free, as fractions of the capacity, an entry
	// may run a few requests without regard to its share, so that requests pass at
	// once on an idle system. With less room, many entries doing so would overload it.
	burstFloor, burstFull = 0.2, 0.5
)

func (s *share) entries() int {
	return max(s.capacity.Entries, 1)
}

func (s *share) wanted() float64 {
	return s.capacity.Units * s.options.TargetUtilization
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
	step := 0.0
	if !s.observed.IsZero() {
		step = min(max(now.Sub(s.observed), 0), longestStep).Seconds()
	}
	s.observed = now
	s.usual += (own - s.usual) * (1 - math.Exp(-step/usualWindow.Seconds()))
	used := max(load.Running+load.Queued, own)
	// Long requests keep running after the limit fell. Scaling the limit again for
	// the same load would bring it to nothing, so the running cost is the base.
	limit := max(s.limit, own) + growthRate*step*demand
	limit *= math.Pow(s.ratio(used, step), correctionRate*step)
	if room := s.wanted() - used; room > 0 {
		limit = s.withRoom(limit, step, room, used, own, demand)
	}
	s.limit = min(max(limit, s.smallest()), s.capacity.Units)
}

// ratio compares the wanted with the reported load.
func (s *share) ratio(used, step float64) float64 {
	ratio := maxRatio * 1.0
	if used > 0 {
		ratio = min(s.wanted()/used, ratio)
	}
	if ratio <= 0 {
		return 0
	}
	excess := -math.Log(ratio)
	s.offset += step * (offsetRate*excess - s.offset/offsetWindow.Seconds())
	s.offset = min(max(s.offset, 0), maxOffset)
	return ratio * math.Exp(-s.offset)
}

// withRoom raises the limit into the free capacity and bounds it by the entry's
// portion of it. Without the bound, limits would grow while the load is light, and
// a burst on all entries at once would overload the backend servers before the next
// report. An entry whose running cost varies keeps what it usually runs.
func (s *share) withRoom(limit, step, room, used, own, demand float64) float64 {
	part := 1 / float64(s.entries())
	limit += roomRate * step * room * part
	if used > 0 {
		part = max(part, own/used)
	}
	free := (room/s.capacity.Units - burstFloor) / (burstFull - burstFloor)
	burst := min(max(free, 0), 1) * (1 + math.Sqrt(demand))
	most := max(own, s.usual) + room*min(part, 1) + growthRate*longestStep.Seconds()*demand
	return max(min(limit, most), own+burst)
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
