package fuzz

import (
	"fmt"
	"time"

	"github.com/sapphirefield/sapphirefield/claim"
)

// event is one kind of event with its weight among all.
type event struct {
	weight int
	act    func(*World)
}

// workEvents let requests make progress.
var workEvents = []event{
	{500, (*World).deliver},
	{60, func(w *World) { w.busy(func(s *sidecar) int { return len(s.accepted) }).begin() }},
	{160, func(w *World) { w.busy(func(s *sidecar) int { return len(s.queue) }).run() }},
	{160, func(w *World) { w.busy(func(s *sidecar) int { return len(s.results) }).collect() }},
	{100, func(w *World) { w.entryAct((*entry).flush) }},
	{60, func(w *World) { w.entryAct((*entry).fetch) }},
	{40, func(w *World) { w.entryAct((*entry).appendClaims) }},
	{40, (*World).shortTime},
	{100, (*World).heal},
	{10, (*World).settle},
	{15, (*World).newRequest},
	{8, (*World).retry},
}

// faultEvents disturb them. Several of them meet in one request where the world's rate of faults is high.
var faultEvents = []event{
	{30, (*World).duplicate},
	{20, (*World).loseOne},
	{20, (*World).delayOne},
	{6, (*World).entryDies},
	{10, (*World).sidecarDies},
	{10, (*World).backendDies},
	{15, (*World).pause},
	{4, (*World).logOutage},
	{4, func(w *World) { w.anySidecar().drain() }},
	{2, func(w *World) { w.entryAct(func(e *entry) { e.draining = true }) }},
	{10, func(w *World) { w.callAct((*entry).noticeLoss) }},
	{10, func(w *World) { w.callAct((*entry).callerLeaves) }},
	{6, (*World).longTime},
}

// faultRates are the numbers of faults among 1000 events that a world may have.
// Few faults let requests come far; many make faults meet.
var faultRates = []int{2, 8, 25, 80}

func (w *World) act() {
	if w.chance(w.faultRate) {
		w.pick(faultEvents)
		return
	}
	w.pick(workEvents)
}

func (w *World) pick(events []event) {
	total := 0
	for _, e := range events {
		total += e.weight
	}
	n := w.src.IntN(total)
	for _, e := range events {
		if n < e.weight {
			e.act(w)
			return
		}
		n -= e.weight
	}
}

func (w *World) anySidecar() *sidecar {
	return w.sidecars[w.src.IntN(len(w.sidecars))]
}

// busy returns a sidecar that has something to do, from a random one on.
func (w *World) busy(load func(*sidecar) int) *sidecar {
	first := w.src.IntN(len(w.sidecars))
	for i := range w.sidecars {
		if s := w.sidecars[(first+i)%len(w.sidecars)]; load(s) > 0 {
			return s
		}
	}
	return w.sidecars[first]
}

func (w *World) anyEntry() *entry {
	return w.entries[w.src.IntN(len(w.entries))]
}

func (w *World) entryAct(act func(*entry)) {
	if e := w.anyEntry(); e.alive && !e.paused {
		act(e)
	}
}

func (w *World) callAct(act func(*entry, *call)) {
	w.entryAct(func(e *entry) {
		if len(e.order) > 0 {
			act(e, e.calls[e.order[w.src.IntN(len(e.order))]])
		}
	})
}

// callerLeaves ends a call early, as its deadline would.
func (e *entry) callerLeaves(c *call) {
	switch {
	case c.state == callClaiming:
		e.do(c, c.machine.Cancel())
		e.end(c)
	case c.state == callRunning && !c.language:
		e.withdraw(c)
	}
}

func (w *World) shortTime() {
	w.advance(time.Duration(1+w.src.IntN(100)) * time.Millisecond)
}

// longTime lets time pass in which timeouts, tombstones, windows and the log's retention run out.
func (w *World) longTime() {
	spans := []time.Duration{5 * time.Second, 20 * time.Second, 70 * time.Second, 20 * time.Minute, 70 * time.Minute}
	d := spans[w.src.IntN(len(spans))]
	w.note("%s pass", d)
	w.advance(d)
}

const maxCallers = 12

func (w *World) newRequest() {
	who := &caller{body: uint64(w.src.IntN(1 << 16)), since: w.now}
	switch w.src.IntN(4) {
	case 0:
		who.language = true
	case 1:
		who.idempotent = w.chance(300)
	default:
		who.key = w.newKey()
	}
	if who.key != nil {
		w.actors = append(w.actors, who)
		if len(w.actors) > maxCallers {
			w.actors = w.actors[1:]
		}
	}
	w.entryAct(func(e *entry) { e.accept(who) })
}

// newKey returns a fresh key: half of them carry their own time.
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

// retry sends a request with a known key again, through any entry: mostly the
// same request, at times with another body or from another team.
func (w *World) retry() {
	if len(w.actors) == 0 {
		return
	}
	who := *w.actors[w.src.IntN(len(w.actors))]
	if _, timed := claim.KeyTime(who.key.Value); !timed && w.now.Sub(who.since) > logRetention-10*time.Minute {
		// Callers must not reuse such a key for so long.
		return
	}
	switch w.src.IntN(10) {
	case 0:
		who.body++
	case 1:
		key := *who.key
		key.Team = "other-" + key.Team
		who.key = &key
	}
	w.entryAct(func(e *entry) { e.accept(&who) })
}

func (w *World) loseOne() {
	if len(w.net) > 0 {
		w.lose(w.src.IntN(len(w.net)))
	}
}

// delayOne holds one message back for so long that timeouts pass before it arrives.
func (w *World) delayOne() {
	if len(w.net) == 0 {
		return
	}
	m := &w.net[w.src.IntN(len(w.net))]
	m.heldUntil = m.sent.Add(time.Duration(1+w.src.IntN(44)) * time.Second)
	w.note("held until %s: %s", m.heldUntil.Format("15:04:05.000"), *m)
}

// heal ends one fault: a dead process restarts, a paused one resumes, a drained
// one exits when it is idle, and the log comes back.
func (w *World) heal() {
	if w.chance(150) {
		w.log.down = false
		return
	}
	if w.chance(300) {
		w.healEntry(w.anyEntry())
		return
	}
	s := w.anySidecar()
	s.backendUp = true
	w.healSidecar(s)
}

func (w *World) healEntry(e *entry) {
	switch {
	case !e.alive:
		e.start()
		w.stats.Restarts++
	case e.paused:
		e.paused = !w.chance(500)
	case e.draining && len(e.calls) == 0 && len(e.outbox) == 0:
		e.die()
	}
}

func (w *World) healSidecar(s *sidecar) {
	switch {
	case !s.alive:
		s.start()
		w.stats.Restarts++
		w.note("sidecar %s starts", s.incarnation)
	case s.paused:
		s.paused = !w.chance(500)
		w.note("sidecar %s paused %t", s.incarnation, s.paused)
	case w.oracle.drained[s.incarnation] && s.ledger.InProgress() == 0:
		s.die()
	default:
		// A connection that is opened again begins with a greeting.
		s.hello(w.src.IntN(len(w.entries)))
		s.freeSilentEntries()
	}
}

func (w *World) entryDies() {
	if e := w.anyEntry(); e.alive {
		e.die()
		w.stats.Deaths++
	}
}

func (w *World) sidecarDies() {
	if s := w.anySidecar(); s.alive {
		s.die()
		w.stats.Deaths++
		w.noticeDeath(s)
	}
}

func (w *World) backendDies() {
	if s := w.anySidecar(); s.backendUp {
		s.backendDies()
		w.stats.Deaths++
	}
}

// noticeDeath ends the connections of the entries to a dead sidecar, for some of
// them at once; the others find out by their timers.
func (w *World) noticeDeath(s *sidecar) {
	for _, e := range w.entries {
		if !e.alive || e.paused || w.chance(500) {
			continue
		}
		e.each(func(c *call) {
			if c.state == callRunning && (!c.language && c.sidecar == s.id || c.language && indexOf(c.chain, s.id) >= 0) {
				e.noticeLoss(c)
			}
		})
	}
}

func (w *World) pause() {
	w.stats.Pauses++
	if w.chance(500) {
		e := w.anyEntry()
		e.paused = e.alive
		w.note("entry %s paused %t", e.incarnation, e.paused)
		return
	}
	s := w.anySidecar()
	s.paused = s.alive
	w.note("sidecar %s paused %t", s.incarnation, s.paused)
}

func (w *World) logOutage() {
	w.log.down = !w.log.down
	w.note("log down %t", w.log.down)
	w.stats.Outages++
	if !w.log.down {
		return
	}
	for _, e := range w.entries {
		if e.alive && !e.paused {
			e.noticeOutage()
		}
	}
}
