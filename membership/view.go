package membership

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// View is one entry's view of the instances of all services. It is not safe for concurrent use.
type View struct {
	options Options
	members map[string]*member
	// byService holds the members of each service, sorted by ID. It is made again when
	// a member is added or removed.
	byService map[string][]*member
	// distrustedSince holds, by service, when its part of the list became distrusted.
	distrustedSince map[string]time.Time
	// initialized is set by the first non-empty list, whose instances need no warm-up.
	initialized bool
}

// member is the state of one instance.
type member struct {
	instance Instance
	// absentSince is when the instance disappeared from a trusted list; zero while it is listed.
	absentSince time.Time
	// lastHeartbeat is the time of the last sign of life; zero if there was none since the last failure.
	lastHeartbeat time.Time
	// down is set from a failure until the next sign of life.
	down bool
	// draining is set when the instance itself refused work because it is draining.
	draining bool
	// ejectedUntil is the end of the ejection that continues after recovery.
	ejectedUntil time.Time
	// warmUpStart is the start of the warm-up; zero if the instance needs none.
	warmUpStart time.Time
	// penalty is the count of recent failures as of penaltyUpdated. It decays exponentially.
	penalty        float64
	penaltyUpdated time.Time
	lastOverload   time.Time
}

// New returns an empty view.
func New(options Options) *View {
	return &View{options: options, members: map[string]*member{}, distrustedSince: map[string]time.Time{}}
}

// ListReport describes the effect of an instance list.
type ListReport struct {
	Verdict ListVerdict
	// Distrusted holds the services whose part of the list is distrusted.
	Distrusted []string
	// Added and Removed count the instances added to and removed from the trusted set.
	Added, Removed int
}

// ObserveList applies the platform's instance list. Trust is decided for each
// service separately, so that a fault in one service's part does not block changes
// to the others.
func (v *View) ObserveList(now time.Time, list []Instance) ListReport {
	report := ListReport{Verdict: ListAccepted}
	listed := map[string]Instance{}
	for _, i := range list {
		listed[i.ID] = i
	}
	for _, service := range v.services(list) {
		v.observeService(now, service, listed, &report)
	}
	v.initialized = v.initialized || len(list) > 0
	v.removeExpired(now)
	return report
}

func (v *View) observeService(now time.Time, service string, listed map[string]Instance, report *ListReport) {
	trusted := v.trustsList(now, service, listed)
	if !trusted {
		report.Verdict = ListDistrusted
		report.Distrusted = append(report.Distrusted, service)
	}
	for _, id := range sortedIDs(listed) {
		if i := listed[id]; i.Service == service {
			v.observeInstance(now, i, trusted, report)
		}
	}
	if !trusted {
		return
	}
	for _, m := range v.membersOf(service) {
		if i, ok := listed[m.instance.ID]; (!ok || i.Service != service) && m.absentSince.IsZero() {
			m.absentSince = now
			report.Removed++
		}
	}
}

// observeInstance applies one entry of a list. A distrusted list can add instances
// and clear their leaving mark but not set it.
func (v *View) observeInstance(now time.Time, i Instance, trusted bool, report *ListReport) {
	m := v.members[i.ID]
	if m == nil || m.instance.Address != i.Address || m.instance.Service != i.Service {
		m = &member{instance: i}
		if v.initialized {
			m.warmUpStart = now
		}
		v.members[i.ID] = m
		v.byService = nil
		report.Added++
		return
	}
	leaving := i.Leaving && (trusted || m.instance.Leaving)
	m.instance = i
	m.instance.Leaving = leaving
	if m.absentSince.IsZero() {
		return
	}
	if !v.present(now, m) {
		v.penalize(now, m)
		v.readmit(now, m)
		report.Added++
	}
	m.absentSince = time.Time{}
}

// trustsList reports whether one service's part of a list is trusted.
func (v *View) trustsList(now time.Time, service string, listed map[string]Instance) bool {
	wasListed, healthy, removed, removedAlive, nowListed := 0, 0, 0, 0, 0
	for _, i := range listed {
		if i.Service == service {
			nowListed++
		}
	}
	for _, m := range v.membersOf(service) {
		if m.absentSince.IsZero() {
			wasListed++
		}
		if !m.absentSince.IsZero() || m.instance.Leaving || m.draining || m.down {
			// Direct evidence or an earlier list already excluded the instance.
			continue
		}
		healthy++
		i, ok := listed[m.instance.ID]
		if ok && i.Service == service && !i.Leaving {
			continue
		}
		removed++
		if v.hasFreshHeartbeat(now, m) {
			removedAlive++
		}
	}
	maxRemoved := max(1, int(v.options.MaxLossFraction*float64(healthy)))
	if removed <= maxRemoved && (nowListed > 0 || wasListed == 0) {
		delete(v.distrustedSince, service)
		return true
	}
	return v.lossConfirmed(now, service, nowListed, removedAlive)
}

// lossConfirmed reports whether a distrusted loss has persisted for LossAcceptDelay, with
// no recent heartbeat from the missing instances.
func (v *View) lossConfirmed(now time.Time, service string, nowListed, removedAlive int) bool {
	since, ok := v.distrustedSince[service]
	if !ok {
		v.distrustedSince[service] = now
		return false
	}
	if nowListed == 0 || removedAlive > 0 || now.Sub(since) < v.options.LossAcceptDelay {
		return false
	}
	delete(v.distrustedSince, service)
	return true
}

// Observe applies direct evidence about an instance. It ignores unknown instances.
func (v *View) Observe(now time.Time, id string, evidence Evidence) {
	m := v.members[id]
	if m == nil {
		return
	}
	switch evidence {
	case Heartbeat:
		v.markAlive(now, m)
	case Overloaded:
		v.markAlive(now, m)
		m.lastOverload = now
	case Draining:
		m.draining = true
	case Restarted:
		m.draining = false
		v.markAlive(now, m)
		v.readmit(now, m)
	case ConnectionRefused, ConnectionLost, HeartbeatTimeout:
		v.markFailed(now, m)
	}
}

func (v *View) markAlive(now time.Time, m *member) {
	m.lastHeartbeat = now
	if !m.down {
		return
	}
	m.down = false
	v.readmit(now, m)
}

// markFailed ejects an instance. Further failures while the instance is down count as
// the same failure and add no penalty.
func (v *View) markFailed(now time.Time, m *member) {
	m.lastHeartbeat = time.Time{}
	if m.down {
		return
	}
	m.down = true
	v.penalize(now, m)
}

// readmit ejects an instance for a time that grows with its recent failures, then starts its warm-up.
func (v *View) readmit(now time.Time, m *member) {
	penalty := v.penalty(now, m)
	if penalty > 0 {
		ejectionTime := float64(v.options.BaseEjectionTime) * math.Pow(2, max(penalty-1, 0))
		m.ejectedUntil = now.Add(time.Duration(min(ejectionTime, float64(v.options.MaxEjectionTime))))
	}
	m.warmUpStart = now
	if m.ejectedUntil.After(now) {
		m.warmUpStart = m.ejectedUntil
	}
}

func (v *View) penalize(now time.Time, m *member) {
	m.penalty = v.penalty(now, m) + 1
	m.penaltyUpdated = now
}

func (v *View) penalty(now time.Time, m *member) float64 {
	if m.penaltyUpdated.IsZero() {
		return 0
	}
	return m.penalty * math.Exp2(-float64(now.Sub(m.penaltyUpdated))/float64(v.options.PenaltyHalfLife))
}

func (v *View) hasFreshHeartbeat(now time.Time, m *member) bool {
	return !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) <= v.options.HeartbeatMaxAge
}

// present reports whether an instance is listed, or was listed until recently and
// still sends heartbeats.
func (v *View) present(now time.Time, m *member) bool {
	if m.absentSince.IsZero() {
		return true
	}
	return v.hasFreshHeartbeat(now, m) && now.Sub(m.absentSince) < v.options.AbsenceGracePeriod
}

func (v *View) usable(now time.Time, m *member) bool {
	return v.present(now, m) && !m.instance.Leaving && !m.draining
}

func (m *member) ejected(now time.Time) bool {
	return m.down || now.Before(m.ejectedUntil)
}

// suspectWeight is the weight of an instance that is not ejected only because of MaxEjectedFraction.
const suspectWeight = 0.1

// Candidates returns the instances of a service that may receive work, sorted by ID.
func (v *View) Candidates(now time.Time, service string) []Candidate {
	var candidates []Candidate
	var ejected []*member
	total := 0
	for _, m := range v.membersOf(service) {
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
	maxEjected := int(v.options.MaxEjectedFraction * float64(total))
	suspects := v.leastSuspect(now, ejected, len(ejected)-maxEjected)
	if len(suspects) == 0 {
		return candidates
	}
	for _, m := range suspects {
		c := v.candidate(now, m)
		c.Suspect, c.Weight = true, suspectWeight
		candidates = append(candidates, c)
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID < candidates[j].ID })
	return candidates
}

// Accepts reports whether an instance of any service may receive work and is not
// ejected. It costs the same however many instances there are.
func (v *View) Accepts(now time.Time, id string) bool {
	m := v.members[id]
	return m != nil && v.usable(now, m) && !m.ejected(now)
}

// leastSuspect returns the n least suspect ejected members: those that are not down
// first, then by ascending penalty.
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

// Weights of instances that get less than their full share.
const (
	// initialWeight is the weight at the start of the warm-up.
	initialWeight = 0.1
	// overloadedWeight multiplies the weight of an overloaded instance, which stays in use.
	overloadedWeight = 0.5
)

func (v *View) candidate(now time.Time, m *member) Candidate {
	c := Candidate{Instance: m.instance, Weight: v.warmUpWeight(now, m)}
	if !m.lastOverload.IsZero() && now.Sub(m.lastOverload) < v.options.OverloadCooldown {
		c.Overloaded = true
		c.Weight *= overloadedWeight
	}
	return c
}

// warmUpWeight returns a weight that rises linearly from initialWeight to 1 during the warm-up.
func (v *View) warmUpWeight(now time.Time, m *member) float64 {
	if m.warmUpStart.IsZero() || v.options.WarmUp <= 0 {
		return 1
	}
	progress := float64(now.Sub(m.warmUpStart)) / float64(v.options.WarmUp)
	return min(max(progress, 0)*(1-initialWeight)+initialWeight, 1)
}

// ServiceOverloaded reports whether at least half of a service's candidates are
// overloaded. A retry would then shift load rather than relieve it.
func (v *View) ServiceOverloaded(now time.Time, service string) bool {
	candidates := v.Candidates(now, service)
	overloaded := 0
	for _, c := range candidates {
		if c.Overloaded {
			overloaded++
		}
	}
	return len(candidates) > 0 && 2*overloaded >= len(candidates)
}

// otherZoneFraction is the fraction of a subset that comes from other availability
// zones, so that open connections remain if the process's own zone fails.
const otherZoneFraction = 0.25

// Subset returns up to n instances of a service for a process to watch, preferring
// its own availability zone. It selects by rendezvous hashing: an instance that joins
// or leaves changes at most one place, and different processes spread over all
// instances. Ejected instances stay in the subset, because only a connection shows
// their recovery.
func (v *View) Subset(now time.Time, service, process, zone string, n int) []Instance {
	var sameZone, otherZones []*member
	for _, m := range v.membersOf(service) {
		switch {
		case !v.usable(now, m):
		case m.instance.Zone == zone:
			sameZone = append(sameZone, m)
		default:
			otherZones = append(otherZones, m)
		}
	}
	rankByHash(sameZone, process)
	rankByHash(otherZones, process)
	n = min(max(n, 0), len(sameZone)+len(otherZones))
	sameZoneCount := min(n-int(otherZoneFraction*float64(n)), len(sameZone))
	sameZoneCount = max(sameZoneCount, n-len(otherZones))
	chosen := append(sameZone[:sameZoneCount:sameZoneCount], otherZones[:n-sameZoneCount]...)
	instances := make([]Instance, 0, n)
	for _, m := range chosen {
		instances = append(instances, m.instance)
	}
	return instances
}

// rankByHash sorts members by their hash with the process, highest first.
func rankByHash(members []*member, process string) {
	score := func(m *member) uint64 { return xxhash.Sum64String(process + "\x00" + m.instance.ID) }
	sort.Slice(members, func(i, j int) bool {
		a, b := score(members[i]), score(members[j])
		if a != b {
			return a > b
		}
		return members[i].instance.ID < members[j].instance.ID
	})
}

// expiryHalfLives is how long an absent instance is remembered, in half-lives of the
// penalty, so that flapping in the list is detected.
const expiryHalfLives = 5

func (v *View) removeExpired(now time.Time) {
	expiry := expiryHalfLives * v.options.PenaltyHalfLife
	for id, m := range v.members {
		if !m.absentSince.IsZero() && now.Sub(m.absentSince) > expiry {
			delete(v.members, id)
			v.byService = nil
		}
	}
}

// membersOf returns the members of a service, sorted by ID. The caller must not change
// the slice.
func (v *View) membersOf(service string) []*member {
	if v.byService == nil {
		v.byService = map[string][]*member{}
		for _, m := range v.members {
			v.byService[m.instance.Service] = append(v.byService[m.instance.Service], m)
		}
		for _, members := range v.byService {
			sort.Slice(members, func(i, j int) bool { return members[i].instance.ID < members[j].instance.ID })
		}
	}
	return v.byService[service]
}

// services returns the sorted names of the known and listed services.
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
