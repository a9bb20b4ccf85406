// Package fuzz drives the decisions about attempts, steps and claims through
// random faults and checks the promises made to callers against an oracle.
//
// A World holds a few entries, sidecars, backend servers and one log. The
// processes are short models of the drivers: they keep no state of their own
// where a decision package keeps it. Messages are lost, delayed, duplicated and
// reordered; processes die, restart, pause and resume; everything follows from
// one source of choices, so a run repeats exactly from its seed.
package fuzz

import (
	"fmt"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
)

// Source makes the choices of a run.
type Source interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

const (
	entryCount   = 3
	plainCount   = 3
	rangeCount   = 3
	replicaCount = 2
	// maxMessageAge is the longest delay of a message whose receiver runs. It is
	// shorter than attempt.TombstoneTTL, which covers only such messages.
	maxMessageAge = 45 * time.Second
	// keyWindow and logRetention are those of the service with idempotency keys.
	keyWindow    = time.Hour
	logRetention = 3 * time.Hour
	// maxMessages bounds the messages in flight; the oldest is lost when there are more.
	maxMessages = 200
)

// Stats counts what happened in a run, to show that the run reached the cases it is meant for.
type Stats struct {
	Steps, Requests, Runs, LanguageRuns, Tokens int
	Yes, No, Unknown, Replays                   int
	Lost, Duplicated, Deaths, Restarts, Pauses  int
	Drains, Outages, LateWithdrawals            int
}

// World is one run.
type World struct {
	src      Source
	now      time.Time
	oracle   *oracle
	stats    Stats
	entries  []*entry
	sidecars []*sidecar
	// plain holds the sidecars of the plain service; stages those of each layer range.
	plain  []*sidecar
	stages [][]*sidecar
	log    *logService
	net    []message
	actors []*caller
	trace  func(line string)
	// faultRate is the number of faults among 1000 events.
	faultRate int
}

// New returns a world whose choices come from src. A trace that is not nil receives one line for each event.
func New(src Source, trace func(line string)) *World {
	w := &World{src: src, now: time.Unix(1_700_000_000, 0), oracle: newOracle(), log: newLogService(), trace: trace}
	w.faultRate = faultRates[src.IntN(len(faultRates))]
	for i := range plainCount {
		s := newSidecar(w, i, plainRange)
		w.plain = append(w.plain, s)
		w.sidecars = append(w.sidecars, s)
	}
	w.stages = make([][]*sidecar, rangeCount)
	for r := range rangeCount {
		for range replicaCount {
			s := newSidecar(w, len(w.sidecars), r)
			w.stages[r] = append(w.stages[r], s)
			w.sidecars = append(w.sidecars, s)
		}
	}
	for i := range entryCount {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for _, s := range w.sidecars {
		s.start()
	}
	for _, e := range w.entries {
		e.start()
		for _, s := range w.sidecars {
			e.known[s.id] = s.incarnation
		}
	}
	return w
}

// Stats returns what happened so far.
func (w *World) Stats() Stats {
	return w.stats
}

// Step makes one random event happen and returns an error when a promise is broken.
func (w *World) Step() error {
	w.stats.Steps++
	w.act()
	if w.oracle.violation != "" {
		return fmt.Errorf("step %d: %s", w.stats.Steps, w.oracle.violation)
	}
	return nil
}

func (w *World) note(format string, args ...any) {
	if w.trace == nil {
		return
	}
	w.trace(fmt.Sprintf("%d %s %s", w.stats.Steps, w.now.Format("15:04:05.000"), fmt.Sprintf(format, args...)))
}

// chance is true in n of 1000 cases.
func (w *World) chance(n int) bool {
	return w.src.IntN(1000) < n
}

// kind is the kind of a message.
type kind int

const (
	msgHello kind = iota
	msgCall
	msgOpen
	msgStart
	msgWithdraw
	msgRelease
	msgStep
	msgLoopToken
	msgAnswer
	msgRefused
	msgFailed
	msgWithdrawAck
	msgOpened
	msgToken
	msgLost
)

var kindNames = [...]string{
	"hello", "call", "open", "start", "withdraw", "release", "step", "loop-token", "answer", "refused", "failed",
	"withdraw-ack", "opened", "token", "lost",
}

// message is one message between processes. Only the members that its kind needs are set.
type message struct {
	kind kind
	// toEntry tells whether to is an entry or a sidecar.
	toEntry bool
	from    int
	to      int
	key     attempt.Key
	// incarnation is the sidecar incarnation that a dispatch addresses, or that of the sidecar that answers.
	incarnation string
	// entry names the incarnation of the entry that owns the attempt.
	entry    string
	owner    int
	index    uint32
	value    uint64
	executed attempt.Executed
	chain    []int
	position int
	sent     time.Time
	// heldUntil is the earliest arrival of a message that is delayed.
	heldUntil time.Time
}

func (m message) String() string {
	direction := "sidecar"
	if m.toEntry {
		direction = "entry"
	}
	return fmt.Sprintf("%s from %d to %s %d: %s/%d index %d executed %s incarnation %s",
		kindNames[m.kind], m.from, direction, m.to, m.key.Request, m.key.Number, m.index, m.executed, m.incarnation)
}

func (w *World) send(m message) {
	m.sent = w.now
	w.net = append(w.net, m)
	if len(w.net) > maxMessages {
		w.lose(0)
	}
}

func (w *World) lose(i int) {
	w.note("lost: %s", w.net[i])
	w.net = append(w.net[:i], w.net[i+1:]...)
	w.stats.Lost++
}

// deliver hands one message in flight to its receiver. A message to a dead
// process is lost; one to a paused process waits in its socket.
func (w *World) deliver() {
	if len(w.net) == 0 {
		return
	}
	i := w.src.IntN(len(w.net))
	m := w.net[i]
	alive, paused := w.receiver(m)
	if paused || w.now.Before(m.heldUntil) {
		return
	}
	if !alive {
		w.lose(i)
		return
	}
	w.net = append(w.net[:i], w.net[i+1:]...)
	w.note("deliver %s", m)
	if m.toEntry {
		w.entries[m.to].receive(m)
		return
	}
	w.sidecars[m.to].receive(m)
}

func (w *World) receiver(m message) (alive, paused bool) {
	if m.toEntry {
		return w.entries[m.to].alive, w.entries[m.to].paused
	}
	return w.sidecars[m.to].alive, w.sidecars[m.to].paused
}

func (w *World) duplicate() {
	if len(w.net) == 0 {
		return
	}
	m := w.net[w.src.IntN(len(w.net))]
	w.note("duplicate %s", m)
	w.net = append(w.net, m)
	w.stats.Duplicated++
}

// advance lets time pass. Running processes see it in short steps, as their
// timers do; paused ones see it at once when they resume.
func (w *World) advance(d time.Duration) {
	const sweep = time.Second
	for d > 0 {
		part := min(d, sweep)
		if d > 10*time.Minute {
			// Nothing is left to happen in a long quiet time; its end goes in short steps again.
			part = d - 3*attempt.TombstoneTTL
		}
		d -= part
		w.now = w.now.Add(part)
		w.expireMessages()
		for _, s := range w.sidecars {
			s.tick()
		}
		for _, e := range w.entries {
			e.tick()
		}
		w.log.expire(w.now)
	}
}

func (w *World) expireMessages() {
	kept := w.net[:0]
	for _, m := range w.net {
		if _, paused := w.receiver(m); !paused && w.now.Sub(m.sent) > maxMessageAge {
			w.stats.Lost++
			continue
		}
		kept = append(kept, m)
	}
	w.net = kept
}

// mix is a small hash that makes each step's result depend on all earlier ones.
func mix(values ...uint64) uint64 {
	h := uint64(14695981039346656037)
	for _, v := range values {
		h = (h ^ v) * 1099511628211
		h ^= h >> 29
	}
	return h
}

func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
