package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
)

// Sample is one event that objectives may judge.
type Sample struct {
	Measure config.Measure
	// Model or Service is set, as in an objective.
	Model, Service string
	Team           string
	// Duration is compared with the objective's threshold; it is unused for availability.
	Duration time.Duration
	// Failed makes the event bad whatever its duration.
	Failed bool
}

// AlertChange tells that an alert has begun or ended.
type AlertChange struct {
	Alert  Alert
	Firing bool
}

// Tracker counts events for each objective. It is not safe for use by several goroutines.
type Tracker struct {
	series []*series
	index  map[subject][]*series
	active map[alertKey]Alert
}

// subject is what all objectives for one event have in common.
type subject struct {
	measure        config.Measure
	model, service string
}

type alertKey struct {
	objective config.Objective
	rule      Rule
}

// NewTracker makes a tracker for the objectives.
func NewTracker(objectives []config.Objective) *Tracker {
	t := &Tracker{active: map[alertKey]Alert{}}
	t.SetObjectives(objectives)
	return t
}

// SetObjectives takes the objectives of a new configuration revision. An
// objective that is the same in all members keeps its counts; a changed one
// begins anew, because its old counts answer another question.
func (t *Tracker) SetObjectives(objectives []config.Objective) {
	kept := map[config.Objective]*series{}
	for _, s := range t.series {
		kept[s.objective] = s
	}
	t.series = nil
	t.index = map[subject][]*series{}
	for _, objective := range objectives {
		s := kept[objective]
		if s == nil {
			s = newSeries(objective)
		}
		key := subject{objective.Measure, objective.Model, objective.Service}
		t.series = append(t.series, s)
		t.index[key] = append(t.index[key], s)
	}
}

// Observe counts the event for each objective that it concerns. An objective
// without a team concerns all teams.
func (t *Tracker) Observe(now time.Time, sample Sample) {
	for _, s := range t.index[subject{sample.Measure, sample.Model, sample.Service}] {
		o := &s.objective
		if o.Team != "" && o.Team != sample.Team {
			continue
		}
		slow := o.Measure != config.MeasureAvailability && sample.Duration > o.Threshold
		if sample.Failed || slow {
			s.add(now, Counts{Bad: 1})
		} else {
			s.add(now, Counts{Good: 1})
		}
	}
}

// Evaluate returns the alerts that have begun or ended since the last call.
func (t *Tracker) Evaluate(now time.Time) []AlertChange {
	var changes []AlertChange
	current := map[alertKey]bool{}
	for _, s := range t.series {
		for _, a := range s.alerts(now) {
			key := alertKey{a.Objective, a.Rule}
			current[key] = true
			if _, known := t.active[key]; !known {
				changes = append(changes, AlertChange{a, true})
			}
			t.active[key] = a
		}
	}
	return append(changes, t.ended(current)...)
}

// ended drops the alerts that are no longer raised, also those of objectives that are gone.
func (t *Tracker) ended(current map[alertKey]bool) []AlertChange {
	var changes []AlertChange
	for key, a := range t.active {
		if !current[key] {
			delete(t.active, key)
			changes = append(changes, AlertChange{a, false})
		}
	}
	slices.SortFunc(changes, func(a, b AlertChange) int {
		return cmp.Or(compareObjectives(a.Alert.Objective, b.Alert.Objective), cmp.Compare(b.Alert.Rule.MaxBurnRate, a.Alert.Rule.MaxBurnRate))
	})
	return changes
}
