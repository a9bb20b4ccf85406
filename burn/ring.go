package burn

import "time"

// Counts holds the numbers of good and bad events.
type Counts struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (c *Counts) add(other Counts) {
	c.Good += other.Good
	c.Bad += other.Bad
}

// badRatio returns the fraction of bad events, or 0 if there are no events.
func (c Counts) badRatio() float64 {
	if total := c.Good + c.Bad; total > 0 {
		return float64(c.Bad) / float64(total)
	}
	return 0
}

// ring is a ring buffer of event counts per time bucket. Buckets have equal
// widths and are aligned to multiples of the width since the Unix epoch, so that
// the rings of two processes can be added bucket by bucket.
type ring struct {
	width   time.Duration
	buckets []Counts
	// newest is the number of the newest bucket, or 0 while the ring is empty.
	newest int64
}

func newRing(layout ringLayout) *ring {
	return &ring{width: layout.width, buckets: make([]Counts, layout.buckets)}
}

func (r *ring) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(r.width)
}

func (r *ring) bucket(number int64) *Counts {
	return &r.buckets[number%int64(len(r.buckets))]
}

// add counts events at the given time. Events older than the oldest bucket are
// dropped.
func (r *ring) add(now time.Time, c Counts) {
	r.addBucket(r.bucketNumber(now), c)
}

func (r *ring) addBucket(number int64, c Counts) {
	r.advance(number)
	if number > r.newest-int64(len(r.buckets)) {
		r.bucket(number).add(c)
	}
}

// advance makes the given bucket the newest one, if it is not older, and clears
// the buckets up to it.
func (r *ring) advance(number int64) {
	if number <= r.newest {
		return
	}
	from := max(r.newest+1, number-int64(len(r.buckets))+1)
	for n := from; n <= number; n++ {
		*r.bucket(n) = Counts{}
	}
	r.newest = number
}

// sum returns the total of the buckets of the window that ends with the bucket
// of the given time.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
	end := r.bucketNumber(now)
	first := end - int64(window/r.width) + 1
	first = max(first, r.newest-int64(len(r.buckets))+1)
	var total Counts
	for n := first; n <= min(end, r.newest); n++ {
		total.add(*r.bucket(n))
	}
	return total
}
