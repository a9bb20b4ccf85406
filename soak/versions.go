package soak

import (
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/platform/platformtest"
)

const (
	// configurationLimit is how long after its acknowledgement a configuration must
	// be in force, and touchTime how long an entry must be without trouble for that.
	configurationLimit = 2 * time.Second
	touchTime          = 3 * time.Second
)

// versions are the revisions that operators have published, and those that each
// process of an entry has shown to have in force.
type versions struct {
	mu    sync.Mutex
	acked []time.Time // by revision - 1
	shown map[process][]proof
}

// process is one process of an entry.
type process struct {
	entry string
	boot  int
}

// proof is the least revision that an answer shows to be in force.
type proof struct {
	at       time.Time
	revision int64
}

// publish writes the next revision.
func (r *run) publish() {
	r.versions.mu.Lock()
	defer r.versions.mu.Unlock()
	revision := int64(len(r.versions.acked)) + 1
	r.store.PutConfiguration(platformtest.Configuration(revision, zones))
	r.versions.acked = append(r.versions.acked, time.Now())
}

// checkFlip compares the service that ran a request with the revisions that may
// have been in force.
func (r *run) checkFlip(id string, e *entry, boot int, began time.Time) {
	runs := r.fleet.Executions(id)
	if len(runs) == 0 || e.boot() != boot {
		return
	}
	service := runs[len(runs)-1].Service
	key := process{e.settings.Name, boot}
	v := &r.versions
	v.mu.Lock()
	defer v.mu.Unlock()
	least := v.shownBefore(key, began)
	if e.calmSince(began.Add(-configurationLimit - touchTime)) {
		least = max(least, v.inForceBy(began.Add(-configurationLimit)))
	}
	revision := least
	for revision <= int64(len(v.acked)) && platformtest.AlternatingService(revision) != service {
		revision++
	}
	if revision > int64(len(v.acked)) {
		r.report.broken("configuration", "%s: ran at %s through %s, whose revision is at least %d", id, service, e.settings.Name, least)
		return
	}
	if v.shown == nil {
		v.shown = map[process][]proof{}
	}
	v.shown[key] = append(v.shown[key], proof{time.Now(), revision})
}

// inForceBy returns the last revision that was acknowledged before a time.
func (v *versions) inForceBy(at time.Time) (revision int64) {
	for i, acked := range v.acked {
		if acked.Before(at) {
			revision = int64(i) + 1
		}
	}
	return revision
}

// shownBefore returns the least revision that a process must have in force for a
// request that began at a time: it must not go back behind what it has shown.
func (v *versions) shownBefore(key process, began time.Time) int64 {
	least := int64(1)
	for _, p := range v.shown[key] {
		if p.at.Before(began) {
			least = max(least, p.revision)
		}
	}
	return least
}
