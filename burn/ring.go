package burn

import "time"

// Counts are good and bad events.
type Counts struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (c *Counts) add(other Counts) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// ratio is the fraction of bad events, or 0 without events.
func (c Counts) ratio() float64 {
	if total := c.Good + c.Bad; total > 0 {
		return float64(c.Bad) / float64(total)
	}
	return 0
}

// ring counts events in buckets of equal width. The bounds of the buckets are
// multiples of the width since the Unix epoch, so that the rings of two
// processes can be added bucket by bucket.
type ring struct {
	width   time.Duration
	buckets []Counts
	// last is the number of the newest bucket; 0 while the ring is empty.
	last int64
}

func newRing(s shape) *ring {
	return &ring{width: s.width, buckets: make([]Counts, s.buckets)}
}

func (r *ring) number(now time.Time) int64 {
	return now.UnixNano() / int64(r.width)
}

func (r *ring) at(number int64) *Counts {
	return &r.buckets[number%int64(len(r.buckets))]
}

// add counts events at the time. Events older than the ring are dropped.
func (r *ring) add(now time.Time, c Counts) {
	r.addBucket(r.number(now), c)
}

func (r *ring) addBucket(number int64, c Counts) {
	r.advance(number)
	if number > r.last-int64(len(r.buckets)) {
		r.at(number).add(c)
	}
}

// advance clears the buckets between the newest one and the given one.
func (r *ring) advance(number int64) {
	if number <= r.last {
		return
	}
	from := max(r.last+1, number-int64(len(r.buckets))+1)
	for n := from; n <= number; n++ {
		*r.at(n) = Counts{}
	}
	r.last = number
}

// sum adds the buckets that end in the window up to the time.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
	end := r.number(now)
	first := end - int64(window/r.width) + 1
	first = max(first, r.last-int64(len(r.buckets))+1)
	var total Counts
	for n := first; n <= min(end, r.last); n++ {
		total.add(*r.at(n))
	}
	return total
}
