package membership

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is one entry's picture of the instances of all services. It is not safe for concurrent use.
type View struct {
	options Options
	members map[string]*member
	// distrusted holds, by service, since when its list has been distrusted.
	distrusted map[string]time.Time
	started    bool
}

// member is what is known about one instance.
type member struct {
	instance Instance
	// absent is when a trusted list first left the instance out; zero while it is listed.
	absent time.Time
	// heartbeat is the last sign of life; zero when there was none since the last failure.
	heartbeat time.Time
	// down is set from a failure until the next sign of life.
	down bool
	// draining is set when the instance itself said that it is leaving.
	draining bool
	// heldUntil is the end of the ejection after a sign of life.
	heldUntil time.Time
	// warmFrom is the start of the warm-up; zero when the instance needs none.
	warmFrom time.Time
	// penalty counts recent failures and halves with time.
	penalty    float64
	penaltyAt  time.Time
	overloaded time.Time
}

// New returns an empty view.
func New(options Options) *View {
	return &View{options: options, members: map[string]*member{}, distrusted: map[string]time.Time{}}
}

// ListReport says what a list changed.
type ListReport struct {
	Verdict ListVerdict
	// Distrusted names the services whose part of the list was not believed.
	Distrusted []string
	// Added and Lost count instances that joined and that left the trusted set.
	Added, Removed int
}

// ObserveList takes the platform's list. Each service is judged by itself, so
// that a fault in one service's part does not stop changes in the others.
func (v *View) ObserveList(now time.Time, list []Instance) ListReport {
	report := ListReport{Verdict: ListAccepted}
	listed := map[string]Instance{}
	for _, i := range list {
		listed[i.ID] = i
	}
	for _, service := range v.services(list) {
		v.observeService(now, service, listed, &report)
	}
	v.started = v.started || len(list) > 0
	v.forget(now)
	return report
}

func (v *View) observeService(now time.Time, service string, listed map[string]Instance, report *ListReport) {
	trusted := v.trusts(now, service, listed)
	if !trusted {
		report.Verdict = ListDistrusted
		report.Distrusted = append(report.Distrusted, service)
	}
	for _, id := range sortedIDs(listed) {
		if i := listed[id]; i.Service == service {
			v.observeListed(now, i, trusted, report)
		}
	}
	if !trusted {
		return
	}
	for _, m := range v.of(service) {
		if i, ok := listed[m.instance.ID]; (!ok || i.Service != service) && m.absent.IsZero() {
			m.absent = now
			report.Removed++
		}
	}
}

// observeListed takes one line of a list. A distrusted list adds instances and
// clears the leaving mark but does not set it.
func (v *View) observeListed(now time.Time, i Instance, trusted bool, report *ListReport) {
	m := v.members[i.ID]
	if m == nil || m.instance.Address != i.Address || m.instance.Service != i.Service {
		m = &member{instance: i}
		if v.started {
			m.warmFrom = now
		}
		v.members[i.ID] = m
		report.Added++
		return
	}
	leaving := i.Leaving && (trusted || m.instance.Leaving)
	m.instance = i
	m.instance.Leaving = leaving
	if m.absent.IsZero() {
		return
	}
	if !v.present(now, m) {
		v.penalize(now, m)
		v.readmit(now, m)
		report.Added++
	}
	m.absent = time.Time{}
}

// trusts judges one service's part of a list.
func (v *View) trusts(now time.Time, service string, listed map[string]Instance) bool {
	known, good, lost, alive, remaining := 0, 0, 0, 0, 0
	for _, i := range listed {
		if i.Service == service {
			remaining++
		}
	}
	for _, m := range v.of(service) {
		if m.absent.IsZero() {
			known++
		}
		if !m.absent.IsZero() || m.instance.Leaving || m.draining || m.down {
			// The list cannot lose what direct evidence or an earlier list already took away.
			continue
		}
		good++
		i, ok := listed[m.instance.ID]
		if ok && i.Service == service && !i.Leaving {
			continue
		}
		lost++
		if v.fresh(now, m) {
			alive++
		}
	}
	allowed := max(1, int(v.options.MaxLossFraction*float64(good)))
	if lost <= allowed && (remaining > 0 || known == 0) {
		delete(v.distrusted, service)
		return true
	}
	return v.outlasted(now, service, remaining, alive)
}

// outlasted reports whether a suspicious list has been repeated for so long, with
// no sign of life from what it lost, that it is believed.
func (v *View) outlasted(now time.Time, service string, remaining, alive int) bool {
	since, ok := v.distrusted[service]
	if !ok {
		v.distrusted[service] = now
		return false
	}
	if remaining == 0 || alive > 0 || now.Sub(since) < v.options.LossAcceptDelay {
		return false
	}
	delete(v.distrusted, service)
	return true
}

// Observe takes direct evidence about an instance. Evidence about an unknown instance is ignored.
func (v *View) Observe(now time.Time, id string, evidence Evidence) {
	m := v.members[id]
	if m == nil {
		return
	}
	switch evidence {
	case Heartbeat:
		v.alive(now, m)
	case Overloaded:
		v.alive(now, m)
		m.overloaded = now
	case Draining:
		m.draining = true
	case Restarted:
		m.draining = false
		v.alive(now, m)
		v.readmit(now, m)
	case ConnectionRefused, ConnectionLost, HeartbeatTimeout:
		v.fail(now, m)
	}
}

func (v *View) alive(now time.Time, m *member) {
	m.heartbeat = now
	if !m.down {
		return
	}
	m.down = false
	v.readmit(now, m)
}

// fail ejects an instance. Further failures of an instance that is already down
// are the same failure and add no penalty.
func (v *View) fail(now time.Time, m *member) {
	m.heartbeat = time.Time{}
	if m.down {
		return
	}
	m.down = true
	v.penalize(now, m)
}

// readmit holds an instance back for a time that grows with its recent failures, then warms it up.
func (v *View) readmit(now time.Time, m *member) {
	penalty := v.penalty(now, m)
	if penalty > 0 {
		hold := float64(v.options.BaseEjectionTime) * math.Pow(2, max(penalty-1, 0))
		m.heldUntil = now.Add(time.Duration(min(hold, float64(v.options.MaxEjectionTime))))
	}
	m.warmFrom = now
	if m.heldUntil.After(now) {
		m.warmFrom = m.heldUntil
	}
}

func (v *View) penalize(now time.Time, m *member) {
	m.penalty = v.penalty(now, m) + 1
	m.penaltyAt = now
}

func (v *View) penalty(now time.Time, m *member) float64 {
	if m.penaltyAt.IsZero() {
		return 0
	}
	return m.penalty * math.Exp2(-float64(now.Sub(m.penaltyAt))/float64(v.options.PenaltyHalfLife))
}

func (v *View) fresh(now time.Time, m *member) bool {
	return !m.heartbeat.IsZero() && now.Sub(m.heartbeat) <= v.options.HeartbeatMaxAge
}

// present reports whether an instance belongs to the set at all: it is listed, or
// it was listed until a short time ago and still sends heartbeats.
func (v *View) present(now time.Time, m *member) bool {
	if m.absent.IsZero() {
		return true
	}
	return v.fresh(now, m) && now.Sub(m.absent) < v.options.AbsenceGracePeriod
}

func (v *View) usable(now time.Time, m *member) bool {
	return v.present(now, m) && !m.instance.Leaving && !m.draining
}

func (m *member) ejected(now time.Time) bool {
	return m.down || now.Before(m.heldUntil)
}

// suspectWeight is the weight of an instance that only the cap on ejections keeps.
const suspectWeight = 0.1

// Candidates returns the instances of a service that may receive work, by ID.
func (v *View) Candidates(now time.Time, service string) []Candidate {
	var candidates []Candidate
	var ejected []*member
	total := 0
	for _, m := range v.of(service) {
		if !v.usable(now, m) {
			continue
		}
		total++
		if m.ejected(now) {
			ejected = append(ejected, m)
			continue
		}
		candidates = append(candidates, v.candidate(now, m))
	}
	most := int(v.options.MaxEjectedFraction * float64(total))
	for _, m := range v.leastSuspect(now, ejected, len(ejected)-most) {
		c := v.candidate(now, m)
		c.Suspect, c.Weight = true, suspectWeight
		candidates = append(candidates, c)
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	return candidates
}

// leastSuspect returns the n ejected members with the least evidence against them.
func (v *View) leastSuspect(now time.Time, ejected []*member, n int) []*member {
	if n <= 0 {
		return nil
	}
	sort.SliceStable(ejected, func(i, j int) bool {
		a, b := ejected[i], ejected[j]
		if a.down != b.down {
			return !a.down
		}
		return v.penalty(now, a) < v.penalty(now, b)
	})
	return ejected[:n]
}

// Weights of instances that are not at their full strength.
const (
	// coldWeight is the weight at the start of the warm-up.
	coldWeight = 0.1
	// overloadedWeight multiplies the weight of a busy instance; it stays in use.
	overloadedWeight = 0.5
)

func (v *View) candidate(now time.Time, m *member) Candidate {
	c := Candidate{Instance: m.instance, Weight: v.warmth(now, m)}
	if !m.overloaded.IsZero() && now.Sub(m.overloaded) < v.options.OverloadCooldown {
		c.Overloaded = true
		c.Weight *= overloadedWeight
	}
	return c
}

// warmth rises linearly from coldWeight to 1 over the warm-up.
func (v *View) warmth(now time.Time, m *member) float64 {
	if m.warmFrom.IsZero() || v.options.WarmUp <= 0 {
		return 1
	}
	part := float64(now.Sub(m.warmFrom)) / float64(v.options.WarmUp)
	return min(max(part, 0)*(1-coldWeight)+coldWeight, 1)
}

// ServiceOverloaded reports whether at least half of a service's candidates are busy.
// A retry would then move the load and not relieve it.
func (v *View) ServiceOverloaded(now time.Time, service string) bool {
	candidates := v.Candidates(now, service)
	busy := 0
	for _, c := range candidates {
		if c.Overloaded {
			busy++
		}
	}
	return len(candidates) > 0 && 2*busy >= len(candidates)
}

// otherZoneShare is the part of a subset that comes from other availability
// zones, so that the loss of the own zone leaves connections that are already open.
const otherZoneShare = 0.25

// Subset returns up to n instances of a service for a process to watch, its own
// availability zone first. The choice is a rendezvous hash: an instance that joins
// or leaves changes at most one place, and different processes spread over all
// instances. Ejected instances stay in the subset, because only a connection shows their return.
func (v *View) Subset(now time.Time, service, process, zone string, n int) []Instance {
	var near, far []*member
	for _, m := range v.of(service) {
		switch {
		case !v.usable(now, m):
		case m.instance.Zone == zone:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	rank(near, process)
	rank(far, process)
	n = min(max(n, 0), len(near)+len(far))
	nearest := min(n-int(otherZoneShare*float64(n)), len(near))
	nearest = max(nearest, n-len(far))
	chosen := append(near[:nearest:nearest], far[:n-nearest]...)
	instances := make([]Instance, 0, n)
	for _, m := range chosen {
		instances = append(instances, m.instance)
	}
	return instances
}

// rank orders members by their hash with the process, highest first.
func rank(members []*member, process string) {
	score := func(m *member) uint64 { return xxhash.Sum64String(process + "\x00" + m.instance.ID) }
	sort.Slice(members, func(i, j int) bool {
		a, b := score(members[i]), score(members[j])
		if a != b {
			return a > b
		}
		return members[i].instance.ID < members[j].instance.ID
	})
}

// forgetAfter is how many half-lives of the penalty an absent instance is remembered,
// so that one which flaps in the list is recognized.
const forgetAfter = 5

func (v *View) forget(now time.Time) {
	limit := forgetAfter * v.options.PenaltyHalfLife
	for id, m := range v.members {
		if !m.absent.IsZero() && now.Sub(m.absent) > limit {
			delete(v.members, id)
		}
	}
}

// of returns the members of a service by ID.
func (v *View) of(service string) []*member {
	var members []*member
	for _, m := range v.members {
		if m.instance.Service == service {
			members = append(members, m)
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].instance.ID < members[j].instance.ID })
	return members
}

// services returns the names of the known and listed services in order.
func (v *View) services(list []Instance) []string {
	names := map[string]bool{}
	for _, i := range list {
		names[i.Service] = true
	}
	for _, m := range v.members {
		names[m.instance.Service] = true
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	sort.Strings(sorted)
	return sorted
}

func sortedIDs(listed map[string]Instance) []string {
	ids := make([]string, 0, len(listed))
	for id := range listed {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
