package overload

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// The scenarios have four entries and 40 servers with 8 slots each, like the
// smaller of the users' fleets.
const (
	serverCount    = 40
	slotCount      = 8
	entryCount     = 4
	quietTeamCount = 9
	// quietLevel is the load of all quiet teams together, floodLevel that of the
	// flooding team, as multiples of the capacity.
	quietLevel = 0.48
	floodLevel = 3.0
)

// Options holds the parameters shared by all tables.
type Options struct {
	// Seed determines arrivals and service times.
	Seed uint64
	// Duration is the virtual time of each run after its warm-up.
	Duration time.Duration
	// MeanServiceTime is the mean time that a request occupies a server slot.
	MeanServiceTime time.Duration
}

// requestRate converts a load level, a multiple of the capacity, to requests per second.
func (setup Options) requestRate(level float64) float64 {
	return level * serverCount * slotCount / setup.MeanServiceTime.Seconds()
}

func (setup Options) baseScenario() scenario {
	return scenario{entries: entryCount, servers: serverCount, slots: slotCount, length: setup.Duration, meanServiceTime: setup.MeanServiceTime}
}

// splitEvenly divides a rate equally among the entries.
func splitEvenly(rate float64) []float64 {
	return split(rate, 0.25, 0.25, 0.25, 0.25)
}

func split(rate float64, fractions ...float64) []float64 {
	rates := make([]float64, len(fractions))
	for i, fraction := range fractions {
		rates[i] = rate * fraction
	}
	return rates
}

func (setup Options) quietTeams() []team {
	teams := make([]team, quietTeamCount)
	for i := range teams {
		teams[i] = team{name: fmt.Sprint("quiet-", i), weight: 1, entryRates: splitEvenly(setup.requestRate(quietLevel) / quietTeamCount)}
	}
	return teams
}

func isQuiet(name string) bool { return strings.HasPrefix(name, "quiet") }

func isFlood(name string) bool { return name == "flood" }

// writeTable writes a title and rows of aligned columns.
func writeTable(out io.Writer, title string, rows [][]string) {
	fmt.Fprintln(out, title)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

func (setup Options) title(text string) string {
	return fmt.Sprintf("%s (capacity %.1f/s, mean hold %s, seed %d)", text, setup.requestRate(1), setup.MeanServiceTime, setup.Seed)
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.0f ms", float64(d.Microseconds())/1000)
}

func formatPercent(v float64) string { return fmt.Sprintf("%.1f%%", v) }

func formatRate(n int, r *result) string { return fmt.Sprintf("%.1f", float64(n)/r.seconds) }

// Flood writes how a flooding team affects the other teams, without and with the controller.
func Flood(out io.Writer, setup Options) {
	rows := [][]string{{"admission", "flood", "others' p50", "others' p95", "p95 moved", "others shed", "others left", "flood served/s", "busy"}}
	for _, fifo := range []bool{true, false} {
		baseline := time.Duration(0)
		for _, flooded := range []bool{false, true} {
			s := setup.baseScenario()
			s.fifo = fifo
			s.teams = setup.quietTeams()
			if flooded {
				s.teams = append(s.teams, team{name: "flood", weight: 1, entryRates: splitEvenly(setup.requestRate(floodLevel))})
			}
			r := runScenario(setup.Seed, s)
			quiet := r.merge(isQuiet)
			p95 := quiet.quantile(95)
			moved := "-"
			if !flooded {
				baseline = p95
			} else {
				moved = fmt.Sprintf("%+.1f%%", 100*(p95.Seconds()/baseline.Seconds()-1))
			}
			rows = append(rows, []string{
				admissionName(fifo), fmt.Sprint(flooded), formatMillis(quiet.quantile(50)), formatMillis(p95), moved, formatPercent(quiet.percentOfOffered(quiet.shed)),
				formatPercent(quiet.percentOfOffered(quiet.abandoned)), formatRate(r.merge(isFlood).completed, r), formatPercent(100 * mean(r.busySamples)),
			})
		}
	}
	writeTable(out, setup.title("Flood: nine teams offer 48% of the capacity, one floods with 300%"), rows)
}

func admissionName(fifo bool) string {
	if fifo {
		return "FIFO"
	}
	return "controller"
}

// SingleTeam writes how much of the capacity a single large team gets.
func SingleTeam(out io.Writer, setup Options) {
	rows := [][]string{{"offered/s", "served/s", "busy"}}
	s := setup.baseScenario()
	s.teams = []team{{name: "large", weight: 1, entryRates: splitEvenly(setup.requestRate(1.5))}}
	r := runScenario(setup.Seed, s)
	t := r.merge(allTeams)
	rows = append(rows, []string{formatRate(t.offered(), r), formatRate(t.completed, r), formatPercent(100 * mean(r.busySamples))})
	writeTable(out, setup.title("One large team alone at 150% of the capacity"), rows)
}

var loadLevels = []float64{0.5, 1, 1.5, 3}

// LoadLevels writes the goodput at several load levels.
func LoadLevels(out io.Writer, setup Options) {
	rows := [][]string{{"admission", "load", "offered/s", "goodput/s", "of that at 100%", "shed", "left", "p95", "shed answer p95", "busy", "peak load"}}
	for _, fifo := range []bool{true, false} {
		full := 0.0
		for _, level := range loadLevels {
			r := runScenario(setup.Seed, setup.equalTeamsAt(level, fifo))
			t := r.merge(allTeams)
			goodput := float64(t.withinTarget) / r.seconds
			if level == 1 {
				full = goodput
			}
			relative := "-"
			if level > 1 {
				relative = fmt.Sprintf("%.3f", goodput/full)
			}
			rows = append(rows, []string{
				admissionName(fifo), formatPercent(100 * level), formatRate(t.offered(), r), fmt.Sprintf("%.1f", goodput), relative,
				formatPercent(t.percentOfOffered(t.shed)), formatPercent(t.percentOfOffered(t.abandoned)), formatMillis(t.quantile(95)),
				formatMillis(time.Duration(r.shedDelay.ValueAtQuantile(95)) * time.Microsecond),
				formatPercent(100 * mean(r.busySamples)), formatPercent(100 * maximum(r.loadSamples)),
			})
		}
	}
	writeTable(out, setup.title("Load levels: ten equal teams; goodput counts first tokens within 0.67 s"), rows)
}

func (setup Options) equalTeamsAt(level float64, fifo bool) scenario {
	s := setup.baseScenario()
	s.fifo = fifo
	for i := range 10 {
		s.teams = append(s.teams, team{name: fmt.Sprint("team-", i), weight: 1, entryRates: splitEvenly(setup.requestRate(level) / 10)})
	}
	return s
}

// EntryShares writes how four entries with unequal demand share the capacity.
func EntryShares(out io.Writer, setup Options) {
	rows := [][]string{{"share", "load", "entry", "demand", "running", "goodput/s in all", "busy", "peak load"}}
	fractions := []float64{0.5, 0.25, 0.125, 0.125}
	for _, level := range []float64{0.9, 3} {
		for _, fixed := range []bool{true, false} {
			s := setup.baseScenario()
			s.equalShares = fixed
			s.teams = []team{{name: "all", weight: 1, entryRates: split(setup.requestRate(level), fractions...)}}
			rows = append(rows, shareRows(runScenario(setup.Seed, s), level, fixed, fractions)...)
		}
	}
	writeTable(out, setup.title("Four entries share the capacity; only load reports pass, one a second from each server"), rows)
}

func shareRows(r *result, level float64, fixed bool, fractions []float64) [][]string {
	total := 0.0
	for _, v := range r.runningByEntry {
		total += v
	}
	shareMode := "by demand and load"
	if fixed {
		shareMode = "equal"
	}
	var rows [][]string
	for i, fraction := range fractions {
		row := []string{shareMode, formatPercent(100 * level), fmt.Sprint(i + 1), formatPercent(100 * fraction), formatPercent(100 * r.runningByEntry[i] / total), "", "", ""}
		if i == 0 {
			row[5] = fmt.Sprintf("%.1f", float64(r.merge(allTeams).withinTarget)/r.seconds)
			row[6], row[7] = formatPercent(100*mean(r.busySamples)), formatPercent(100*maximum(r.loadSamples))
		}
		rows = append(rows, row)
	}
	return rows
}

// RetryStorm writes the effect of retries while a third of the servers is slow. The
// remaining servers and the slow ones together have about 69% of the full capacity.
func RetryStorm(out io.Writer, setup Options) {
	rows := [][]string{{"admission", "load", "retries", "attempts a request", "completed", "goodput/s", "p95", "shed", "busy", "peak load"}}
	for _, fifo := range []bool{true, false} {
		for _, level := range []float64{0.6, 0.75} {
			for _, retries := range []string{"none", "without budget", "with budget"} {
				rows = append(rows, stormRow(setup, fifo, level, retries))
			}
		}
	}
	writeTable(out, setup.title("Retry storm: 13 of 40 servers take 20 times as long, attempts time out after 1 s and go on at the server"), rows)
}

func stormRow(setup Options, fifo bool, level float64, retries string) []string {
	s := setup.baseScenario()
	s.fifo = fifo
	s.teams = []team{{name: "all", weight: 1, entryRates: splitEvenly(setup.requestRate(level))}}
	s.slowServers, s.slowdown = serverCount/3, 20
	s.maxAttempts, s.useRetryBudget = 4, retries == "with budget"
	if retries == "none" {
		s.maxAttempts = 1
	}
	r := runScenario(setup.Seed, s)
	t := r.merge(allTeams)
	admitted := max(t.completed+t.failed, 1)
	return []string{
		admissionName(fifo), formatPercent(100 * level), retries, fmt.Sprintf("%.2f", float64(r.attemptCount)/float64(admitted)),
		formatPercent(t.percentOfOffered(t.completed)), fmt.Sprintf("%.1f", float64(t.withinTarget)/r.seconds), formatMillis(t.quantile(95)),
		formatPercent(t.percentOfOffered(t.shed)), formatPercent(100 * mean(r.busySamples)), formatPercent(100 * maximum(r.loadSamples)),
	}
}
