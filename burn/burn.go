// Package burn measures how fast service-level objectives use up their error
// budgets. It counts good and bad events in windows and raises an alert when a
// long and a short window burn too fast together: the long one shows that the
// loss matters, the short one that it goes on. The package performs no I/O and
// reads no clock.
package burn

import (
	"fmt"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
)

// The windows of burn rates.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour
	Window3d  = 72 * time.Hour
)

// Windows lists all windows, the shortest one first.
var Windows = []time.Duration{Window5m, Window30m, Window1h, Window6h, Window3d}

// budgetPeriod is the time that an error budget is meant to last.
const budgetPeriod = 30 * 24 * time.Hour

// minBad keeps a single failed call in a quiet hour from raising an alert.
const minBad = 3

// shape gives the width and the number of a ring's buckets.
type shape struct {
	width   time.Duration
	buckets int
}

// shapes trade memory for resolution: a window has at least 30 buckets, and one
// objective takes 13 KB, while a node may use 32 MB on control.
var shapes = [...]shape{
	{10 * time.Second, 360},
	{2 * time.Minute, 180},
	{15 * time.Minute, 288},
}

// ringFor returns the ring with the finest buckets that holds the window.
func ringFor(window time.Duration) int {
	for i, s := range shapes {
		if window <= s.width*time.Duration(s.buckets) {
			return i
		}
	}
	return len(shapes) - 1
}

// Severity says how soon somebody must look at an alert.
type Severity string

// The severities of alerts.
const (
	SeverityPage   Severity = "page"
	SeverityTicket Severity = "ticket"
)

// Rule raises an alert when both windows burn faster than Rate.
type Rule struct {
	Severity                Severity
	LongWindow, ShortWindow time.Duration
	// MaxBurnRate 1 uses up the budget in exactly the budget period of 30 days.
	MaxBurnRate float64
}

// Rules are those of the Google SRE Workbook, chapter "Alerting on SLOs": 2% of
// the budget in 1 h, 5% in 6 h, 10% in 3 days.
var Rules = []Rule{
	{SeverityPage, Window1h, Window5m, 14.4},
	{SeverityPage, Window6h, Window30m, 6},
	{SeverityTicket, Window3d, Window6h, 1},
}

// Alert tells that an objective burns too fast.
type Alert struct {
	Objective config.Objective
	Rule      Rule
	// LongRate and ShortRate are the measured burn rates.
	LongRate, ShortRate float64
}

// Reason explains the alert in one sentence.
func (a Alert) Reason() string {
	lasts := time.Duration(float64(budgetPeriod) / max(a.LongRate, 1e-9))
	return fmt.Sprintf("the error budget burns %.1f times too fast over %s and %.1f times over %s; the limit is %.1f, and a whole budget lasts %s at this rate",
		a.LongRate, short(a.Rule.LongWindow), a.ShortRate, short(a.Rule.ShortWindow), a.Rule.MaxBurnRate, rounded(lasts))
}

// short writes a window as operators name it, such as 5m or 3d.
func short(d time.Duration) string {
	switch {
	case d%(24*time.Hour) == 0:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}

// WindowName writes a window as operators name it, such as 5m or 3d.
func WindowName(window time.Duration) string { return short(window) }

func rounded(d time.Duration) string {
	if d < 48*time.Hour {
		return fmt.Sprintf("%.1f hours", d.Hours())
	}
	return fmt.Sprintf("%.1f days", d.Hours()/24)
}

// series counts the events of one objective.
type series struct {
	objective config.Objective
	rings     [len(shapes)]*ring
}

func newSeries(objective config.Objective) *series {
	s := &series{objective: objective}
	for i, shape := range shapes {
		s.rings[i] = newRing(shape)
	}
	return s
}

func (s *series) add(now time.Time, c Counts) {
	for _, r := range s.rings {
		r.add(now, c)
	}
}

func (s *series) counts(now time.Time, window time.Duration) Counts {
	return s.rings[ringFor(window)].sum(now, window)
}

// rate is the fraction of bad events over the fraction that the target allows.
func (s *series) rate(now time.Time, window time.Duration) float64 {
	return s.counts(now, window).ratio() / (1 - s.objective.Target)
}

// alerts returns the rules that the objective breaks.
func (s *series) alerts(now time.Time) []Alert {
	var list []Alert
	for _, rule := range Rules {
		a := Alert{s.objective, rule, s.rate(now, rule.LongWindow), s.rate(now, rule.ShortWindow)}
		if a.LongRate > rule.MaxBurnRate && a.ShortRate > rule.MaxBurnRate && s.counts(now, rule.LongWindow).Bad >= minBad {
			list = append(list, a)
		}
	}
	return list
}
