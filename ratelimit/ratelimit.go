// Package ratelimit divides the request rate that a server in need accepts from all
// entries together among the entries.
//
// It answers this load pattern: a server states a limit while its clients go on as
// before, at entries that may not hear each other, and all entries have work at the
// same moment after a time without any.
//
// Each entry has an equal share, which needs no messages, and spends it in time slots.
// The slots of the entries follow one another, and one that is not used in time is
// lost: otherwise every entry would hold a request back, and many entries together
// would send far more than the limit in a short time. An entry without work leaves its
// slots to those that have asked for them.
//
// The package does no I/O and reads no clock.
package ratelimit

import (
	"maps"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// minRate (requests per second) is the least rate for all entries together. With
	// none, no answer would ever tell that a limit of 0 is over.
	minRate = 0.2
	// maxRate bounds the rate that a broken server can state.
	maxRate = 1e6
	// heldTime and heldRequests bound the slots that all entries together may hold
	// unused: those of heldTime, and heldRequests more.
	heldTime     = 750 * time.Millisecond
	heldRequests = 2
	// reportTime is how long an observation is reported to the other entries, because
	// single messages may be lost.
	reportTime = 2 * time.Second
)

var errInvalidRate = errors.New("rate limit is not a number of requests per second")

// ParseRate parses a limit as stated by a server: a number of requests per second. It
// returns 0 if none is stated.
func ParseRate(text string) (float64, error) {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0, nil
	}
	rate, err := strconv.ParseFloat(text, 64)
	// A number that is too large is parsed as infinite.
	if err != nil && !math.IsInf(rate, 1) || math.IsNaN(rate) || rate < 0 {
		return 0, errInvalidRate
	}
	return min(max(rate, minRate), maxRate), nil
}

// Share is an entry's part of each limit: one of Entries equal parts. Rank is its
// position among the entries.
type Share struct{ Rank, Entries int }

// Change is what an observation has changed.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Stated
	Lifted
)

// Report is what an entry tells the others about a limit that a server has stated to
// it.
type Report struct {
	// Process identifies the process of the server.
	Process uint64
	// Rate is 0 if the server states no limit any more.
	Rate float64
	Age  time.Duration
}

// Limits holds the limits that servers state, and this entry's slots at each of them.
// It is not safe for concurrent use.
type Limits struct {
	share   Share
	servers map[string]*limit
	// gifts are in progress; given counts all that this entry has made, and received
	// holds the newest number from each giver.
	gifts    []outgoing
	given    uint64
	received map[uint64]receipt
}

type limit struct {
	process uint64
	// rate is 0 after the limit was lifted.
	rate float64
	// observedAt is when the server has stated it. own is set if it did so to this
	// entry.
	observedAt time.Time
	own        bool
	slots      slots
	// granted are slots that other entries have left to this one, by their ends.
	granted []time.Time
	// wantedAt is when a request found no slot.
	wantedAt time.Time
}

// New returns limits of a single entry that knows none.
func New() *Limits { return &Limits{share: Share{Entries: 1}, servers: map[string]*limit{}} }

// SetShare changes this entry's share.
func (l *Limits) SetShare(now time.Time, s Share) {
	s.Entries = max(s.Entries, 1)
	if s == l.share {
		return
	}
	l.share = s
	for _, server := range l.servers {
		server.slots.setRate(now, server.rate, s)
	}
}

// ObserveAnswer records the rate that a server has stated in an answer, or 0, to a
// request sent at a given time. An answer without a limit ends one only if its request
// was sent after the limit was stated: a late answer says nothing about what came
// after it.
func (l *Limits) ObserveAnswer(now time.Time, server string, process uint64, sentAt time.Time, rate float64) Change {
	known := l.servers[server]
	if rate == 0 && (known == nil || known.process != process || known.rate == 0 || !sentAt.After(known.observedAt)) {
		return Unchanged
	}
	return l.set(now, server, limit{process: process, rate: rate, observedAt: now, own: true})
}

// ObserveReport records another entry's report about a server. The latest observation
// of any entry counts.
func (l *Limits) ObserveReport(now time.Time, server string, r Report) Change {
	observedAt := now.Add(-r.Age)
	known := l.servers[server]
	switch {
	case math.IsNaN(r.Rate) || r.Rate < 0 || r.Age < 0:
		return Unchanged
	case known == nil && r.Rate == 0:
		return Unchanged
	case known != nil && known.process == r.Process && !observedAt.After(known.observedAt):
		return Unchanged
	}
	return l.set(now, server, limit{process: r.Process, rate: min(r.Rate, maxRate), observedAt: observedAt})
}

// set replaces what is known of a server's limit. The slots go on, so that a new
// statement is no reason to send more.
func (l *Limits) set(now time.Time, server string, next limit) Change {
	known := l.servers[server]
	change := Unchanged
	switch {
	case known == nil && next.rate > 0, known != nil && next.rate > 0 && next.rate != known.rate:
		change = Stated
	case known != nil && known.rate > 0 && next.rate == 0:
		change = Lifted
	}
	if known != nil && known.rate > 0 {
		next.slots, next.granted, next.wantedAt = known.slots, known.granted, known.wantedAt
	}
	next.slots.setRate(now, next.rate, l.share)
	l.servers[server] = &next
	return change
}

// Forget removes what is known of a server, because it has restarted or is gone.
func (l *Limits) Forget(server string) { delete(l.servers, server) }

// Keep forgets the servers that are not known any more.
func (l *Limits) Keep(known func(server string) bool) {
	maps.DeleteFunc(l.servers, func(server string, _ *limit) bool { return !known(server) })
}

// Servers returns the number of servers about which something is known.
func (l *Limits) Servers() int { return len(l.servers) }

// Limited reports whether a server states a limit.
func (l *Limits) Limited(server string) bool {
	known := l.servers[server]
	return known != nil && known.rate > 0
}

// Wait returns the time until this entry may send the next request to a server.
func (l *Limits) Wait(now time.Time, server string) time.Duration {
	if !l.Limited(server) {
		return 0
	}
	known := l.servers[server]
	known.dropGranted(now)
	if len(known.granted) > 0 {
		return 0
	}
	return known.slots.wait(now)
}

// Take uses the next slot at a server if it comes within a time, and returns the time
// until then.
func (l *Limits) Take(now time.Time, server string, within time.Duration) (wait time.Duration, ok bool) {
	if !l.Limited(server) {
		return 0, true
	}
	if l.servers[server].takeGranted(now) {
		return 0, true
	}
	s := &l.servers[server].slots
	if wait = s.wait(now); wait > within {
		return wait, false
	}
	s.next = s.next.Add(s.interval)
	return wait, true
}

// Charge uses a slot for a request that is sent whether or not there is one: later
// requests wait longer.
func (l *Limits) Charge(now time.Time, server string) {
	l.Take(now, server, math.MaxInt64)
}

// Reports returns what the next message tells the other entries. It forgets limits
// that were lifted some time ago.
func (l *Limits) Reports(now time.Time) (reports []Report) {
	for server, known := range l.servers {
		age := now.Sub(known.observedAt)
		if age > reportTime {
			if known.rate == 0 {
				delete(l.servers, server)
			}
			continue
		}
		if known.own {
			reports = append(reports, Report{known.process, known.rate, age})
		}
	}
	return reports
}

// slots are the times at which this entry may send requests to a server.
type slots struct {
	// interval is the time between two slots, validity how long one may be used.
	interval, validity time.Duration
	// next is the first slot that was not used.
	next time.Time
}

// setRate changes the rate for all entries together. The part of the interval that has
// passed counts in the new one.
func (s *slots) setRate(now time.Time, rate float64, share Share) {
	if rate <= 0 {
		return
	}
	perSecond := float64(time.Second)
	interval := time.Duration(perSecond * float64(share.Entries) / rate)
	s.validity = heldTime + time.Duration(heldRequests*perSecond/rate)
	switch {
	case s.next.IsZero():
		s.next = now.Add(timeToPhase(now, time.Duration(perSecond*float64(share.Rank)/rate), interval))
	case s.next.After(now):
		left := float64(s.next.Sub(now)) / float64(s.interval)
		s.next = now.Add(time.Duration(left * float64(interval)))
	}
	s.interval = interval
}

// timeToPhase returns the time until the time of day is at a phase of an interval. The
// clocks of the entries differ by little, so that their slots follow one another.
func timeToPhase(now time.Time, phase, interval time.Duration) time.Duration {
	left := (phase - time.Duration(now.UnixNano()%int64(interval))) % interval
	if left < 0 {
		left += interval
	}
	return left
}

// wait drops the slots that are too old and returns the time until the next one.
func (s *slots) wait(now time.Time) time.Duration {
	if late := now.Sub(s.next) - s.validity; late > 0 {
		missed := late/s.interval + 1
		s.next = s.next.Add(missed * s.interval)
	}
	return max(s.next.Sub(now), 0)
}
