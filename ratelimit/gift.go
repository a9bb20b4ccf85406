package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// wantTime is how long a request that found no slot counts as work that another
	// entry's slot could serve.
	wantTime = time.Second
	// keepFraction is the part of a slot's validity for which an entry without work keeps
	// it for itself.
	keepFraction = 0.25
	// maxGifts bounds the gifts in progress.
	maxGifts = 32
)

// Gift is a slot that one entry leaves to another. The giver has used it as far as it is
// concerned, so however messages are lost, delayed or repeated, all entries together
// never have more slots than the limit.
type Gift struct {
	// To is the receiver and Process the server's process.
	To, Process uint64
	// Number increases with each gift of one giver.
	Number uint64
	// Left is how long the slot may still be used.
	Left time.Duration
}

// outgoing is a gift that messages repeat until it is over.
type outgoing struct {
	Gift
	until time.Time
}

// Want records that a request found no slot at a server.
func (l *Limits) Want(now time.Time, server string) {
	if known := l.servers[server]; known != nil {
		known.wantedAt = now
	}
}

// Wants returns the processes of the servers at which this entry needs slots.
func (l *Limits) Wants(now time.Time) (processes []uint64) {
	for _, known := range l.servers {
		if known.isWanted(now) {
			processes = append(processes, known.process)
		}
	}
	slices.Sort(processes)
	return processes
}

func (k *limit) isWanted(now time.Time) bool {
	return !k.wantedAt.IsZero() && now.Sub(k.wantedAt) < wantTime
}

// Give leaves unused slots to entries that want them: wants are the processes that each
// entry has asked for. It returns all gifts that the next message carries.
func (l *Limits) Give(now time.Time, wants map[uint64][]uint64) []Gift {
	l.gifts = slices.DeleteFunc(l.gifts, func(g outgoing) bool { return !now.Before(g.until) })
	for _, known := range l.servers {
		if known.rate == 0 || known.isWanted(now) {
			continue
		}
		for receivers := wanting(wants, known.process); len(receivers) > 0 && len(l.gifts) < maxGifts; {
			until, ok := known.slots.spare(now)
			if !ok {
				break
			}
			l.given++
			to := receivers[l.given%uint64(len(receivers))]
			l.gifts = append(l.gifts, outgoing{Gift{To: to, Process: known.process, Number: l.given}, until})
		}
	}
	var gifts []Gift
	for _, g := range l.gifts {
		g.Left = g.until.Sub(now)
		gifts = append(gifts, g.Gift)
	}
	return gifts
}

// wanting returns the entries that want slots at a process, in a fixed order.
func wanting(wants map[uint64][]uint64, process uint64) (entries []uint64) {
	for entry, processes := range wants {
		if slices.Contains(processes, process) {
			entries = append(entries, entry)
		}
	}
	slices.Sort(entries)
	return entries
}

// spare uses up a slot that has been free for a while, and returns until when it is valid.
func (s *slots) spare(now time.Time) (until time.Time, ok bool) {
	s.wait(now) // drops those that are too old
	if now.Sub(s.next) < time.Duration(keepFraction*float64(s.validity)) {
		return time.Time{}, false
	}
	until = s.next.Add(s.validity)
	s.next = s.next.Add(s.interval)
	return until, true
}

// Accept takes the gifts to this entry that one giver's message carries. giver identifies
// the process of the giver.
func (l *Limits) Accept(now time.Time, giver, self uint64, gifts []Gift) {
	gifts = slices.SortedFunc(slices.Values(gifts), func(a, b Gift) int { return cmp.Compare(a.Number, b.Number) })
	for _, g := range gifts {
		if g.To != self || g.Number <= l.received[giver].number || !l.remember(now, giver, g.Number) {
			continue
		}
		for _, known := range l.servers {
			if known.process == g.Process && g.Left > 0 {
				known.granted = append(known.granted, now.Add(min(g.Left, known.slots.validity)))
			}
		}
	}
}

const (
	// maxGivers bounds the givers that are remembered, those that have restarted included.
	maxGivers = 4096
	// maxValidity is the longest validity of a slot.
	maxValidity = heldTime + time.Duration(heldRequests/minRate*float64(time.Second))
)

// receipt is the newest gift from one giver.
type receipt struct {
	number uint64
	at     time.Time
}

// remember records a gift, and returns false if there is no room for its giver. A giver
// is forgotten only once its gifts are over, so that none counts twice.
func (l *Limits) remember(now time.Time, giver, number uint64) bool {
	if l.received == nil {
		l.received = map[uint64]receipt{}
	}
	if _, known := l.received[giver]; !known && len(l.received) >= maxGivers {
		maps.DeleteFunc(l.received, func(_ uint64, r receipt) bool { return now.Sub(r.at) > maxValidity })
		if len(l.received) >= maxGivers {
			return false
		}
	}
	l.received[giver] = receipt{number, now}
	return true
}

// takeGranted uses a slot that another entry has left, if there is one.
func (k *limit) takeGranted(now time.Time) bool {
	k.dropGranted(now)
	if len(k.granted) == 0 {
		return false
	}
	slices.SortFunc(k.granted, time.Time.Compare)
	k.granted = k.granted[1:]
	return true
}

func (k *limit) dropGranted(now time.Time) {
	k.granted = slices.DeleteFunc(k.granted, func(until time.Time) bool { return !now.Before(until) })
}
