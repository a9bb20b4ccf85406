package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/demand"
)

// KeepOptions configure a Keeper. Fractions are of 1.
type KeepOptions struct {
	// Begin is the unserved fraction of the more urgent work at which room begins to
	// be kept, and End the one at which that need has ended. A few requests that wait
	// for a moment are no lack of room.
	Begin, End float64
	// Hold is how long room is kept after the need has ended, and Release the time in
	// which the largest room is given back after that.
	Hold, Release time.Duration
	// Max bounds the room that is kept: it only has to last until some is given back by
	// requests that end. MaxPerEntry bounds it for each entry that has
	// unserved work: one entry may be wrong.
	Max, MaxPerEntry float64
	// MinService and FullService protect less urgent requests: those that are served
	// MinService times as often as the more urgent ones, or less, leave no room free;
	// from FullService on they leave all of it.
	MinService, FullService float64
}

// DefaultKeepOptions returns the options of entries for the room of engines and links.
func DefaultKeepOptions() KeepOptions {
	return KeepOptions{
		Begin: 0.05, End: 0.02, Hold: 500 * time.Millisecond, Release: time.Second,
		Max: 0.1, MaxPerEntry: 0.05, MinService: 0.5, FullService: 0.75,
	}
}

// RetryKeepOptions returns the options of entries for their retries. A larger part of
// these is kept than of the room, because the budget refills only as its window passes.
func RetryKeepOptions() KeepOptions {
	const maxRetriesKept, maxRetriesPerEntry = 0.5, 0.25
	o := DefaultKeepOptions()
	o.Max, o.MaxPerEntry = maxRetriesKept, maxRetriesPerEntry
	return o
}

// Keeper decides how much room requests of a model leave free for more urgent ones.
//
// It answers more demand than room at many entries: less urgent requests would start at
// entries where nothing waits, in the room that urgent ones at other entries look for.
// Room is kept only while more urgent work finds none, and is given back within Hold and
// Release after that. It performs no I/O, reads no clock and is not safe for concurrent
// use.
type Keeper struct {
	options   KeepOptions
	kept      map[int]*keptRoom
	updatedAt time.Time
}

// keptRoom is the room that requests of one urgency leave free.
type keptRoom struct {
	// fraction grows and decays; service reduces it for requests that are served less.
	fraction, service float64
	neededAt          time.Time
}

// KeepChange says that room begins to be kept, or that none is kept any more if
// Fraction is 0, and why. Urgency is the one that leaves most.
type KeepChange struct {
	Urgency  int
	Fraction float64
	// Unserved and Started are the more urgent work, and Entries the number of entries
	// that lack room for it.
	Unserved, Started float64
	Entries           int
}

// NewKeeper returns a Keeper that keeps no room.
func NewKeeper(o KeepOptions) *Keeper { return &Keeper{options: o, kept: map[int]*keptRoom{}} }

// leastUrgent stands for all urgencies after those that are known.
const leastUrgent = math.MaxInt

// Fraction returns the fraction of the room that a request leaves free.
func (k *Keeper) Fraction(urgency int) float64 {
	if r := k.kept[urgency]; r != nil {
		return r.fraction * r.service
	}
	// An urgency without any work leaves as much free as the one before it, but one
	// after all others as much as what is least urgent.
	before, last := noUrgency, noUrgency
	for u := range k.kept {
		if u < urgency {
			before = max(before, u)
		}
		if u < leastUrgent {
			last = max(last, u)
		}
	}
	if last != noUrgency && urgency > last {
		before = leastUrgent
	}
	if r := k.kept[before]; r != nil {
		return r.fraction * r.service
	}
	return 0
}

// Update takes the loads of all urgencies, in their order. It returns a change if room
// begins or ceases to be kept, and nil otherwise.
func (k *Keeper) Update(now time.Time, totals []demand.Total) *KeepChange {
	wasKept := false
	most := KeepChange{}
	elapsed := now.Sub(k.updatedAt)
	if k.updatedAt.IsZero() {
		elapsed = 0
	}
	k.updatedAt = now
	for _, urgency := range k.urgencies(totals) {
		n := needBefore(urgency, totals)
		r := k.kept[urgency]
		if r == nil {
			r = &keptRoom{}
			k.kept[urgency] = r
		}
		wasKept = wasKept || r.fraction > 0
		k.adjust(r, now, elapsed, n)
		r.service = k.serviceFactor(n)
		if r.fraction >= most.Fraction {
			most = KeepChange{urgency, r.fraction, n.unserved, n.started, n.entries}
		}
		if r.fraction == 0 && n.own.Urgency != urgency {
			delete(k.kept, urgency)
		}
	}
	if wasKept == (most.Fraction > 0) {
		return nil
	}
	return &most
}

// urgencies returns those of the loads, those that leave room free, and leastUrgent, in
// their order.
func (k *Keeper) urgencies(totals []demand.Total) []int {
	all := []int{leastUrgent}
	for _, t := range totals {
		all = append(all, t.Urgency)
	}
	for u := range k.kept {
		all = append(all, u)
	}
	slices.SortFunc(all, cmp.Compare[int])
	return slices.Compact(all)
}

// need is what more urgent requests lack, and how the own urgency is served.
type need struct {
	// unserved and started are of the more urgent work, and total is the work of all.
	unserved, started, total float64
	entries                  int
	own                      demand.Total
}

// noUrgency is the urgency of work that is not there.
const noUrgency = -1

func needBefore(urgency int, totals []demand.Total) (n need) {
	n.own.Urgency = noUrgency
	for _, t := range totals {
		n.total += t.Started
		switch {
		case t.Urgency < urgency:
			n.unserved += t.Unserved
			n.started += t.Started
			n.entries = max(n.entries, t.Entries)
		case t.Urgency == urgency:
			n.own = t
		}
	}
	n.total += n.unserved
	return n
}

// adjust grows the room while it is needed, and gives it back otherwise.
func (k *Keeper) adjust(r *keptRoom, now time.Time, elapsed time.Duration, n need) {
	o := k.options
	lack := fractionOf(n.unserved, n.unserved+n.started)
	limit := min(o.Max, o.MaxPerEntry*float64(n.entries))
	switch {
	case lack >= o.Begin || r.fraction > 0 && lack > o.End:
		// What is kept already falls no faster than it would without a need.
		r.fraction = max(min(fractionOf(n.unserved, n.total), limit), r.fraction-k.released(elapsed))
		r.neededAt = now
	case now.Sub(r.neededAt) > o.Hold:
		r.fraction = max(r.fraction-k.released(elapsed), 0)
	}
}

// released returns how much of the kept room is given back in a time.
func (k *Keeper) released(elapsed time.Duration) float64 {
	return k.options.Max * elapsed.Seconds() / k.options.Release.Seconds()
}

// serviceFactor returns the part of the kept room that requests leave free, given how
// often they are served relative to more urgent ones.
func (k *Keeper) serviceFactor(n need) float64 {
	own := 1 - fractionOf(n.own.Unserved, n.own.Unserved+n.own.Started)
	urgent := 1 - fractionOf(n.unserved, n.unserved+n.started)
	if urgent <= 0 {
		return 1
	}
	o := k.options
	return min(max((own/urgent-o.MinService)/(o.FullService-o.MinService), 0), 1)
}

func fractionOf(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}
