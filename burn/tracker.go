package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
)

// Sample is one event that counts for the matching objectives.
type Sample struct {
	Measure config.Measure
	// Either Model or Service is set, as in an objective.
	Model, Service string
	Team           string
	// Duration is compared with the objective's threshold; it is unused for availability.
	Duration time.Duration
	// Failed makes the event bad regardless of its duration.
	Failed bool
}

// AlertChange reports that an alert has started or ended.
type AlertChange struct {
	Alert  Alert
	Firing bool
}

// Tracker counts events for each objective. It is not safe for concurrent use.
type Tracker struct {
	series []*series
	index  map[seriesKey][]*series
	active map[alertKey]Alert
}

// seriesKey identifies the series that an event may count for. The team is
// compared separately, because an objective may apply to all teams.
type seriesKey struct {
	measure        config.Measure
	model, service string
}

type alertKey struct {
	objective config.Objective
	rule      Rule
}

// NewTracker returns a Tracker for the objectives.
func NewTracker(objectives []config.Objective) *Tracker {
	t := &Tracker{active: map[alertKey]Alert{}}
	t.SetObjectives(objectives)
	return t
}

// SetObjectives replaces the objectives by those of a new configuration
// revision. An objective with no changed field keeps its counts. A changed
// objective starts from zero, because its old counts measured something else.
func (t *Tracker) SetObjectives(objectives []config.Objective) {
	previous := map[config.Objective]*series{}
	for _, s := range t.series {
		previous[s.objective] = s
	}
	t.series = nil
	t.index = map[seriesKey][]*series{}
	for _, objective := range objectives {
		s := previous[objective]
		if s == nil {
			s = newSeries(objective)
		}
		key := seriesKey{objective.Measure, objective.Model, objective.Service}
		t.series = append(t.series, s)
		t.index[key] = append(t.index[key], s)
	}
}

// Observe counts the event for each objective that it matches. An objective
// without a team matches the events of all teams.
func (t *Tracker) Observe(now time.Time, sample Sample) {
	for _, s := range t.index[seriesKey{sample.Measure, sample.Model, sample.Service}] {
		o := &s.objective
		if o.Team != "" && o.Team != sample.Team {
			continue
		}
		tooSlow := o.Measure != config.MeasureAvailability && sample.Duration > o.Threshold
		if sample.Failed || tooSlow {
			s.add(now, Counts{Bad: 1})
		} else {
			s.add(now, Counts{Good: 1})
		}
	}
}

// Evaluate returns the alerts that have started or ended since the last call.
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
	return append(changes, t.removeEnded(current)...)
}

// removeEnded removes the active alerts that are not in current, including those
// of removed objectives, and returns them as changes.
func (t *Tracker) removeEnded(current map[alertKey]bool) []AlertChange {
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
