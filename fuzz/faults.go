package fuzz

import (
	"fmt"
	"time"

	"github.com/sapphirefield/sapphirefield/claim"
)

// event is a kind of event with its relative weight.
type event struct {
	weight int
	apply  func(*World)
}

// workEvents let requests make progress.
var workEvents = []event{
	{500, (*World).deliverMessage},
	{60, func(w *World) { w.busySidecar(func(s *sidecar) int { return len(s.awaitingBody) }).beginCall() }},
	{160, func(w *World) { w.busySidecar(func(s *sidecar) int { return len(s.backendQueue) }).runBackendTask() }},
	{160, func(w *World) { w.busySidecar(func(s *sidecar) int { return len(s.backendResults) }).collectResult() }},
	{100, func(w *World) { w.withRandomEntry((*entry).flush) }},
	{60, func(w *World) { w.withRandomEntry((*entry).readLog) }},
	{40, func(w *World) { w.withRandomEntry((*entry).appendClaims) }},
	{40, (*World).advanceShort},
	{100, (*World).endFault},
	{10, (*World).settleLateAppend},
	{15, (*World).newRequest},
	{8, (*World).retryRequest},
}

// faultEvents inject faults. With a high fault rate, several of them hit the same request.
var faultEvents = []event{
	{30, (*World).duplicateMessage},
	{20, (*World).loseMessage},
	{20, (*World).delayMessage},
	{6, (*World).crashEntry},
	{10, (*World).crashSidecar},
	{10, (*World).crashBackend},
	{15, (*World).pauseProcess},
	{4, (*World).toggleLogOutage},
	{4, func(w *World) { w.randomSidecar().drain() }},
	{2, func(w *World) { w.withRandomEntry(func(e *entry) { e.draining = true }) }},
	{10, func(w *World) { w.withRandomCall((*entry).handleConnectionLoss) }},
	{10, func(w *World) { w.withRandomCall((*entry).cancelCall) }},
	{6, (*World).advanceLong},
}

// faultRates are the possible fault rates of a world, in faults per 1000 events.
// Low rates let requests get far; high rates make faults coincide.
var faultRates = []int{2, 8, 25, 80}

func (w *World) applyRandomEvent() {
	if w.chance(w.faultRate) {
		w.applyWeighted(faultEvents)
		return
	}
	w.applyWeighted(workEvents)
}

func (w *World) applyWeighted(events []event) {
	total := 0
	for _, e := range events {
		total += e.weight
	}
	n := w.src.IntN(total)
	for _, e := range events {
		if n < e.weight {
			e.apply(w)
			return
		}
		n -= e.weight
	}
}

func (w *World) randomSidecar() *sidecar {
	return w.sidecars[w.src.IntN(len(w.sidecars))]
}

// busySidecar returns the first sidecar with pending work, searching from a random
// one on, or that one if there is none.
func (w *World) busySidecar(pending func(*sidecar) int) *sidecar {
	first := w.src.IntN(len(w.sidecars))
	for i := range w.sidecars {
		if s := w.sidecars[(first+i)%len(w.sidecars)]; pending(s) > 0 {
			return s
		}
	}
	return w.sidecars[first]
}

func (w *World) randomEntry() *entry {
	return w.entries[w.src.IntN(len(w.entries))]
}

func (w *World) withRandomEntry(apply func(*entry)) {
	if e := w.randomEntry(); e.alive && !e.paused {
		apply(e)
	}
}

func (w *World) withRandomCall(apply func(*entry, *call)) {
	w.withRandomEntry(func(e *entry) {
		if len(e.callOrder) > 0 {
			apply(e, e.calls[e.callOrder[w.src.IntN(len(e.callOrder))]])
		}
	})
}

// cancelCall cancels a call for its client, as the deadline would.
func (e *entry) cancelCall(c *call) {
	switch {
	case c.state == callClaiming:
		e.applyActions(c, c.claimMachine.Cancel())
		e.closeCall(c)
	case c.state == callRunning && !c.llm:
		e.withdraw(c)
	}
}

func (w *World) advanceShort() {
	w.advance(time.Duration(1+w.src.IntN(100)) * time.Millisecond)
}

// advanceLong advances the clock so that timeouts, tombstones, idempotency keys and
// log records expire.
func (w *World) advanceLong() {
	spans := []time.Duration{5 * time.Second, 20 * time.Second, 70 * time.Second, 20 * time.Minute, 70 * time.Minute}
	d := spans[w.src.IntN(len(spans))]
	w.tracef("clock advances by %s", d)
	w.advance(d)
}

const maxClients = 12

func (w *World) newRequest() {
	cl := &client{body: uint64(w.src.IntN(1 << 16)), firstSent: w.now}
	switch w.src.IntN(4) {
	case 0:
		cl.llm = true
	case 1:
		cl.idempotent = w.chance(300)
	default:
		cl.key = w.newKey()
	}
	if cl.key != nil {
		w.clients = append(w.clients, cl)
		if len(w.clients) > maxClients {
			w.clients = w.clients[1:]
		}
	}
	w.withRandomEntry(func(e *entry) { e.accept(cl) })
}

// newKey returns a new idempotency key. Half of the keys contain their creation time.
func (w *World) newKey() *claim.Key {
	n := len(w.oracle.requests)
	k := &claim.Key{Team: fmt.Sprint("team", w.src.IntN(2)), Service: ordersService, Value: fmt.Sprint("k", n)}
	if w.chance(100) {
		k.Service = noticesService
	}
	if w.chance(500) {
		millis := uint64(w.now.UnixMilli())
		k.Value = fmt.Sprintf("%08x-%04x-7000-8000-%012x", millis>>16, millis&0xffff, n)
	}
	return k
}

// retryRequest sends a request with a used key again, through any entry: mostly
// the same request, sometimes with another body or from another team.
func (w *World) retryRequest() {
	if len(w.clients) == 0 {
		return
	}
	cl := *w.clients[w.src.IntN(len(w.clients))]
	if _, hasTime := claim.KeyTime(cl.key.Value); !hasTime && w.now.Sub(cl.firstSent) > logRetention-10*time.Minute {
		// Clients must stop reusing a key without a creation time before its log records expire.
		return
	}
	switch w.src.IntN(10) {
	case 0:
		cl.body++
	case 1:
		key := *cl.key
		key.Team = "other-" + key.Team
		cl.key = &key
	}
	w.withRandomEntry(func(e *entry) { e.accept(&cl) })
}

func (w *World) loseMessage() {
	if len(w.inFlight) > 0 {
		w.dropMessage(w.src.IntN(len(w.inFlight)))
	}
}

// delayMessage delays a message so long that timeouts may pass before it arrives.
func (w *World) delayMessage() {
	if len(w.inFlight) == 0 {
		return
	}
	m := &w.inFlight[w.src.IntN(len(w.inFlight))]
	m.heldUntil = m.sentAt.Add(time.Duration(1+w.src.IntN(44)) * time.Second)
	w.tracef("delayed until %s: %s", m.heldUntil.Format("15:04:05.000"), *m)
}

// endFault ends one fault: a crashed process restarts, a paused one resumes, a
// drained one exits if it is idle, or the log becomes available again.
func (w *World) endFault() {
	if w.chance(150) {
		w.log.down = false
		return
	}
	if w.chance(300) {
		w.recoverEntry(w.randomEntry())
		return
	}
	s := w.randomSidecar()
	s.backendUp = true
	w.recoverSidecar(s)
}

func (w *World) recoverEntry(e *entry) {
	switch {
	case !e.alive:
		e.start()
		w.stats.Restarts++
	case e.paused:
		e.paused = !w.chance(500)
	case e.draining && len(e.calls) == 0 && len(e.outbox) == 0:
		e.crash()
	}
}

func (w *World) recoverSidecar(s *sidecar) {
	switch {
	case !s.alive:
		s.start()
		w.stats.Restarts++
		w.tracef("sidecar %s starts", s.incarnation)
	case s.paused:
		s.paused = !w.chance(500)
		w.tracef("sidecar %s paused %t", s.incarnation, s.paused)
	case w.oracle.drained[s.incarnation] && s.ledger.InProgress() == 0:
		s.crash()
	default:
		// A reconnected stream begins with a hello.
		s.sendHello(w.src.IntN(len(w.entries)))
		s.closeOrphanedAttempts()
	}
}

func (w *World) crashEntry() {
	if e := w.randomEntry(); e.alive {
		e.crash()
		w.stats.Deaths++
	}
}

func (w *World) crashSidecar() {
	if s := w.randomSidecar(); s.alive {
		s.crash()
		w.stats.Deaths++
		w.closeConnectionsTo(s)
	}
}

func (w *World) crashBackend() {
	if s := w.randomSidecar(); s.backendUp {
		s.crashBackend()
		w.stats.Deaths++
	}
}

// closeConnectionsTo closes the connections to a crashed sidecar for some of the
// entries; the others detect the crash by a timeout.
func (w *World) closeConnectionsTo(s *sidecar) {
	for _, e := range w.entries {
		if !e.alive || e.paused || w.chance(500) {
			continue
		}
		e.eachCall(func(c *call) {
			if c.state == callRunning && (!c.llm && c.sidecar == s.id || c.llm && indexOf(c.chain, s.id) >= 0) {
				e.handleConnectionLoss(c)
			}
		})
	}
}

func (w *World) pauseProcess() {
	w.stats.Pauses++
	if w.chance(500) {
		e := w.randomEntry()
		e.paused = e.alive
		w.tracef("entry %s paused %t", e.incarnation, e.paused)
		return
	}
	s := w.randomSidecar()
	s.paused = s.alive
	w.tracef("sidecar %s paused %t", s.incarnation, s.paused)
}

func (w *World) toggleLogOutage() {
	w.log.down = !w.log.down
	w.tracef("log down %t", w.log.down)
	w.stats.Outages++
	if !w.log.down {
		return
	}
	for _, e := range w.entries {
		if e.alive && !e.paused {
			e.handleLogOutage()
		}
	}
}
