// Package burn computes burn rates of the error budgets of service-level
// objectives. It counts good and bad events in sliding windows and raises an
// alert when the burn rates of a long and a short window both exceed a limit:
// the long window shows that the loss is significant, the short one that it
// continues. The package performs no I/O and reads no clock.
package burn

import (
	"fmt"
	"time"

	"github.com/sapphirefield/sapphirefield/config"
)

// The windows for which burn rates are computed.
const (
	Window5m  = 5 * time.Minute
	Window30m = 30 * time.Minute
	Window1h  = time.Hour
	Window6h  = 6 * time.Hour
	Window3d  = 72 * time.Hour
)

// Windows lists all windows in ascending order.
var Windows = []time.Duration{Window5m, Window30m, Window1h, Window6h, Window3d}

// budgetPeriod is the period of an error budget.
const budgetPeriod = 30 * 24 * time.Hour

// minBadEvents prevents an alert for a single failed request in an hour with
// little traffic.
const minBadEvents = 3

// ringLayout is the width and the number of the buckets of a ring.
type ringLayout struct {
	width   time.Duration
	buckets int
}

// ringLayouts are a compromise between memory and resolution: a window has at
// least 30 buckets, and one objective takes 13 KB of the 32 MB that a node's
// control plane may use.
var ringLayouts = [...]ringLayout{
	{10 * time.Second, 360},
	{2 * time.Minute, 180},
	{15 * time.Minute, 288},
}

// ringIndexFor returns the index of the ring with the finest buckets that covers
// the window.
func ringIndexFor(window time.Duration) int {
	for i, layout := range ringLayouts {
		if window <= layout.width*time.Duration(layout.buckets) {
			return i
		}
	}
	return len(ringLayouts) - 1
}

// Severity is the urgency of an alert.
type Severity string

// The severities of alerts.
const (
	SeverityPage   Severity = "page"
	SeverityTicket Severity = "ticket"
)

// Rule raises an alert when the burn rates of both windows exceed MaxBurnRate.
type Rule struct {
	Severity                Severity
	LongWindow, ShortWindow time.Duration
	// MaxBurnRate is the limit. At burn rate 1 the budget lasts exactly the budget
	// period of 30 days.
	MaxBurnRate float64
}

// Rules are the alert rules of the Google SRE Workbook, chapter "Alerting on
// SLOs": 2% of the budget in 1 h, 5% in 6 h, 10% in 3 days.
var Rules = []Rule{
	{SeverityPage, Window1h, Window5m, 14.4},
	{SeverityPage, Window6h, Window30m, 6},
	{SeverityTicket, Window3d, Window6h, 1},
}

// Alert reports that an objective uses up its error budget faster than a rule
// allows.
type Alert struct {
	Objective config.Objective
	Rule      Rule
	// LongRate and ShortRate are the measured burn rates.
	LongRate, ShortRate float64
}

// Reason describes the alert in one sentence for operators.
func (a Alert) Reason() string {
	budgetLifetime := time.Duration(float64(budgetPeriod) / max(a.LongRate, 1e-9))
	return fmt.Sprintf("the error budget burns %.1f times too fast over %s and %.1f times over %s; the limit is %.1f, and a whole budget lasts %s at this rate",
		a.LongRate, formatWindow(a.Rule.LongWindow), a.ShortRate, formatWindow(a.Rule.ShortWindow), a.Rule.MaxBurnRate, formatDuration(budgetLifetime))
}

// formatWindow formats a window in its largest whole unit, such as 5m or 3d.
func formatWindow(d time.Duration) string {
	switch {
	case d%(24*time.Hour) == 0:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}

// WindowName returns the name of a window, such as 5m or 3d.
func WindowName(window time.Duration) string { return formatWindow(window) }

func formatDuration(d time.Duration) string {
	if d < 48*time.Hour {
		return fmt.Sprintf("%.1f hours", d.Hours())
	}
	return fmt.Sprintf("%.1f days", d.Hours()/24)
}

// series counts the events of one objective at several resolutions.
type series struct {
	objective config.Objective
	rings     [len(ringLayouts)]*ring
}

func newSeries(objective config.Objective) *series {
	s := &series{objective: objective}
	for i, layout := range ringLayouts {
		s.rings[i] = newRing(layout)
	}
	return s
}

func (s *series) add(now time.Time, c Counts) {
	for _, r := range s.rings {
		r.add(now, c)
	}
}

func (s *series) counts(now time.Time, window time.Duration) Counts {
	return s.rings[ringIndexFor(window)].sum(now, window)
}

// burnRate returns the fraction of bad events divided by the fraction that the
// target allows.
func (s *series) burnRate(now time.Time, window time.Duration) float64 {
	return s.counts(now, window).badRatio() / (1 - s.objective.Target)
}

// alerts returns an alert for each rule that the objective violates.
func (s *series) alerts(now time.Time) []Alert {
	var alerts []Alert
	for _, rule := range Rules {
		a := Alert{s.objective, rule, s.burnRate(now, rule.LongWindow), s.burnRate(now, rule.ShortWindow)}
		if a.LongRate > rule.MaxBurnRate && a.ShortRate > rule.MaxBurnRate && s.counts(now, rule.LongWindow).Bad >= minBadEvents {
			alerts = append(alerts, a)
		}
	}
	return alerts
}
