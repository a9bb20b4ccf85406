package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// activationLimit is how long an entry may take to activate a revision after the
	// store acknowledged it. The limit applies only to entries that have had no fault
	// for minFaultFreeTime before that.
	activationLimit  = 2 * time.Second
	minFaultFreeTime = 3 * time.Second
)

// revisionTracker records the published revisions and the revisions that responses
// show to be active in each entry process.
type revisionTracker struct {
	mu       sync.Mutex
	ackTimes []time.Time // indexed by revision - 1
	observed map[process][]revisionObservation
}

// process identifies a process of an entry; number counts the entry's starts.
type process struct {
	entry  string
	number int
}

// revisionObservation is the lowest revision that a response shows to be active.
type revisionObservation struct {
	time     time.Time
	revision int64
}

const (
	// minRouteTimeout is longer than the time that clients give their requests.
	minRouteTimeout = requestTimeout + 500*time.Millisecond
	maxRouteTimeout = 20 * time.Second
	// minIdleTimeout and maxIdleTimeout bound the time that clients' idle connections stay
	// open, and minHeaderTimeout and maxHeaderTimeout the time to send a header.
	minIdleTimeout, maxIdleTimeout     = 100 * time.Millisecond, 20 * time.Second
	minHeaderTimeout, maxHeaderTimeout = 200 * time.Millisecond, 10 * time.Second
	// A large revision has largeRoutes routes and largeKeys keys beyond those in use.
	largeRoutes, largeKeys = 2000, 500
	largeFraction          = 0.3
)

// randomVariant returns a variant of the configuration; each timeout is the shortest or the
// longest one.
func randomVariant(random *rand.Rand) platformtest.ConfigurationVariant {
	choose := func(short, long time.Duration) time.Duration {
		if random.IntN(2) == 0 {
			return short
		}
		return long
	}
	v := platformtest.ConfigurationVariant{
		RouteTimeout: choose(minRouteTimeout, maxRouteTimeout), HeaderTimeout: choose(minHeaderTimeout, maxHeaderTimeout),
		IdleTimeout: choose(minIdleTimeout, maxIdleTimeout), SplitWeight: random.Float64(), ExtraKeys: random.IntN(largeKeys),
	}
	if random.Float64() < largeFraction {
		v.ExtraRoutes = largeRoutes
	}
	return v
}

// publish writes the next configuration revision to the store.
func (r *soakRun) publish(variant platformtest.ConfigurationVariant) {
	r.revisions.mu.Lock()
	defer r.revisions.mu.Unlock()
	revision := int64(len(r.revisions.ackTimes)) + 1
	r.store.PutConfiguration(platformtest.VariedConfiguration(revision, zones, variant))
	r.revisions.ackTimes = append(r.revisions.ackTimes, time.Now())
}

// checkActiveRevision checks that the service that executed a request matches a
// revision that may have been active.
func (r *soakRun) checkActiveRevision(id string, e *entry, processNumber int, sentAt time.Time) {
	executions := r.fleet.Executions(id)
	if len(executions) == 0 || e.processNumber() != processNumber {
		return
	}
	service := executions[len(executions)-1].Service
	key := process{e.settings.Name, processNumber}
	tracker := &r.revisions
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	minRevision := tracker.observedBefore(key, sentAt)
	if e.faultFreeSince(sentAt.Add(-activationLimit - minFaultFreeTime)) {
		minRevision = max(minRevision, tracker.acknowledgedBefore(sentAt.Add(-activationLimit)))
	}
	revision := minRevision
	for revision <= int64(len(tracker.ackTimes)) && platformtest.AlternatingService(revision) != service {
		revision++
	}
	if revision > int64(len(tracker.ackTimes)) {
		r.report.addViolation("configuration", "%s: executed on %s through %s, whose revision is at least %d", id, service, e.settings.Name, minRevision)
		return
	}
	if tracker.observed == nil {
		tracker.observed = map[process][]revisionObservation{}
	}
	tracker.observed[key] = append(tracker.observed[key], revisionObservation{time.Now(), revision})
}

// acknowledgedBefore returns the last revision that the store acknowledged before t.
func (v *revisionTracker) acknowledgedBefore(t time.Time) (revision int64) {
	for i, ackTime := range v.ackTimes {
		if ackTime.Before(t) {
			revision = int64(i) + 1
		}
	}
	return revision
}

// observedBefore returns the lowest revision that may be active in a process for a
// request sent at sentAt: a process must not go back to a revision older than one
// already observed.
func (v *revisionTracker) observedBefore(key process, sentAt time.Time) int64 {
	minRevision := int64(1)
	for _, observation := range v.observed[key] {
		if observation.time.Before(sentAt) {
			minRevision = max(minRevision, observation.revision)
		}
	}
	return minRevision
}
