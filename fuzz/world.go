// Package fuzz drives the packages that decide about attempts, steps and claims
// through random faults and checks the outcomes that clients see against an oracle.
//
// A World simulates a few entries, sidecars, backend servers and one log. The
// processes are small models of the real ones: state that the packages under test
// keep is not kept a second time. Messages are lost, delayed, duplicated and
// reordered; processes crash, restart, pause and resume. All choices come from one
// random source, so a run repeats exactly from its seed.
package fuzz

import (
	"fmt"
	"time"

	"github.com/sapphirefield/sapphirefield/attempt"
)

// Source is the random source of a run.
type Source interface {
	// IntN returns a number in [0, n).
	IntN(n int) int
}

const (
	entryCount        = 3
	plainSidecarCount = 3
	layerRangeCount   = 3
	replicaCount      = 2
	// maxMessageAge is the longest delay of a message whose receiver is running. It
	// is shorter than attempt.TombstoneTTL, which covers only such messages.
	maxMessageAge = 45 * time.Second
	// idempotencyKeyTTL and logRetention apply to the services with idempotency keys.
	idempotencyKeyTTL = time.Hour
	logRetention      = 3 * time.Hour
	// maxInFlight bounds the messages in flight; beyond it the oldest is lost.
	maxInFlight = 200
)

// Stats counts the events of a run, to show that it reached the cases it is meant
// for. Yes, No and Unknown count the reported outcomes by whether the request ran.
type Stats struct {
	Steps, Requests, Runs, LanguageRuns, Tokens int
	Yes, No, Unknown, Replays                   int
	Lost, Duplicated, Deaths, Restarts, Pauses  int
	Drains, Outages, LateWithdrawals            int
}

// World is a simulated cluster with its clock and network.
type World struct {
	src      Source
	now      time.Time
	oracle   *oracle
	stats    Stats
	entries  []*entry
	sidecars []*sidecar
	// plainSidecars holds the sidecars of the plain service, stageReplicas those of each layer range.
	plainSidecars []*sidecar
	stageReplicas [][]*sidecar
	log           *logService
	inFlight      []message
	clients       []*client
	trace         func(line string)
	// faultRate is the number of faults per 1000 events.
	faultRate int
}

// New returns a world whose random choices come from src. If trace is not nil, it
// is called with one line for each event.
func New(src Source, trace func(line string)) *World {
	w := &World{src: src, now: time.Unix(1_700_000_000, 0), oracle: newOracle(), log: newLogService(), trace: trace}
	w.faultRate = faultRates[src.IntN(len(faultRates))]
	for i := range plainSidecarCount {
		s := newSidecar(w, i, noLayerRange)
		w.plainSidecars = append(w.plainSidecars, s)
		w.sidecars = append(w.sidecars, s)
	}
	w.stageReplicas = make([][]*sidecar, layerRangeCount)
	for r := range layerRangeCount {
		for range replicaCount {
			s := newSidecar(w, len(w.sidecars), r)
			w.stageReplicas[r] = append(w.stageReplicas[r], s)
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
			e.knownSidecars[s.id] = s.incarnation
		}
	}
	return w
}

// Stats returns the counts so far.
func (w *World) Stats() Stats {
	return w.stats
}

// Step applies one random event and returns an error if an invariant is violated.
func (w *World) Step() error {
	w.stats.Steps++
	w.applyRandomEvent()
	if w.oracle.violation != "" {
		return fmt.Errorf("step %d: %s", w.stats.Steps, w.oracle.violation)
	}
	return nil
}

func (w *World) tracef(format string, args ...any) {
	if w.trace == nil {
		return
	}
	w.trace(fmt.Sprintf("%d %s %s", w.stats.Steps, w.now.Format("15:04:05.000"), fmt.Sprintf(format, args...)))
}

// chance returns true with probability n/1000.
func (w *World) chance(n int) bool {
	return w.src.IntN(1000) < n
}

// messageKind is the type of a message.
type messageKind int

const (
	msgHello messageKind = iota
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

var messageKindNames = [...]string{
	"hello", "call", "open", "start", "withdraw", "release", "step", "loop-token", "answer", "refused", "failed",
	"withdraw-ack", "opened", "token", "lost",
}

// message is sent between processes. Only the fields that its kind needs are set.
type message struct {
	kind messageKind
	// toEntry is set if to is an entry, not a sidecar.
	toEntry bool
	from    int
	to      int
	key     attempt.Key
	// incarnation is the sidecar incarnation that the message is addressed to, or that
	// of the sidecar that sent it.
	incarnation string
	// entryIncarnation is the incarnation of the entry that owns the attempt.
	entryIncarnation string
	entryID          int
	index            uint32
	value            uint64
	executed         attempt.Executed
	chain            []int
	position         int
	sentAt           time.Time
	// heldUntil is the earliest delivery time of a delayed message.
	heldUntil time.Time
}

func (m message) String() string {
	direction := "sidecar"
	if m.toEntry {
		direction = "entry"
	}
	return fmt.Sprintf("%s from %d to %s %d: %s/%d index %d executed %s incarnation %s",
		messageKindNames[m.kind], m.from, direction, m.to, m.key.Request, m.key.Number, m.index, m.executed, m.incarnation)
}

func (w *World) send(m message) {
	m.sentAt = w.now
	w.inFlight = append(w.inFlight, m)
	if len(w.inFlight) > maxInFlight {
		w.dropMessage(0)
	}
}

func (w *World) dropMessage(i int) {
	w.tracef("lost: %s", w.inFlight[i])
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	w.stats.Lost++
}

// deliverMessage delivers one message in flight. A message to a crashed process is
// lost; one to a paused process stays in flight, as in a socket buffer.
func (w *World) deliverMessage() {
	if len(w.inFlight) == 0 {
		return
	}
	i := w.src.IntN(len(w.inFlight))
	m := w.inFlight[i]
	alive, paused := w.receiver(m)
	if paused || w.now.Before(m.heldUntil) {
		return
	}
	if !alive {
		w.dropMessage(i)
		return
	}
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	w.tracef("deliver %s", m)
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

func (w *World) duplicateMessage() {
	if len(w.inFlight) == 0 {
		return
	}
	m := w.inFlight[w.src.IntN(len(w.inFlight))]
	w.tracef("duplicate %s", m)
	w.inFlight = append(w.inFlight, m)
	w.stats.Duplicated++
}

// advance moves the clock forward in short steps, in which the timers of running
// processes fire. Paused processes see the whole time at once when they resume.
func (w *World) advance(d time.Duration) {
	const maxStep = time.Second
	for d > 0 {
		step := min(d, maxStep)
		if d > 10*time.Minute {
			// Nothing happens in most of a long idle time; only its end takes short steps.
			step = d - 3*attempt.TombstoneTTL
		}
		d -= step
		w.now = w.now.Add(step)
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
	remaining := w.inFlight[:0]
	for _, m := range w.inFlight {
		if _, paused := w.receiver(m); !paused && w.now.Sub(m.sentAt) > maxMessageAge {
			w.stats.Lost++
			continue
		}
		remaining = append(remaining, m)
	}
	w.inFlight = remaining
}

// mix is a small hash with which each step's result depends on all earlier ones.
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
