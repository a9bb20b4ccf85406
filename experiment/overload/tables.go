package overload

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// The scenarios have 40 servers with 8 slots each, like the smaller of the
// users' fleets, and four entries.
const (
	serverCount = 40
	slotCount   = 8
	entryCount  = 4
	quietTeams  = 9
	// quietLevel and floodLevel are what the quiet teams and the flooding team
	// offer, as a multiple of the capacity.
	quietLevel = 0.48
	floodLevel = 3.0
)

// Options is what all tables of a run have in common.
type Options struct {
	// Seed sets arrivals and service times.
	Seed uint64
	// Duration is the virtual time of each run after its warm-up.
	Duration time.Duration
	// MeanServiceTime is the mean time for which a request holds a slot of a server.
	MeanServiceTime time.Duration
}

// rate is a load level in requests a second.
func (u Options) rate(level float64) float64 {
	return level * serverCount * slotCount / u.MeanServiceTime.Seconds()
}

func (u Options) base() scenario {
	return scenario{entries: entryCount, servers: serverCount, slots: slotCount, length: u.Duration, hold: u.MeanServiceTime}
}

// evenly spreads a rate over the entries.
func evenly(rate float64) []float64 {
	return split(rate, 0.25, 0.25, 0.25, 0.25)
}

func split(rate float64, parts ...float64) []float64 {
	rates := make([]float64, len(parts))
	for i, p := range parts {
		rates[i] = rate * p
	}
	return rates
}

func (u Options) quiet() []team {
	teams := make([]team, quietTeams)
	for i := range teams {
		teams[i] = team{name: fmt.Sprint("quiet-", i), weight: 1, perSecond: evenly(u.rate(quietLevel) / quietTeams)}
	}
	return teams
}

func isQuiet(name string) bool { return strings.HasPrefix(name, "quiet") }

func isFlood(name string) bool { return name == "flood" }

// table writes aligned columns.
func table(out io.Writer, title string, rows [][]string) {
	fmt.Fprintln(out, title)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t")+"\t")
	}
	_ = w.Flush()
	fmt.Fprintln(out)
}

func (u Options) title(text string) string {
	return fmt.Sprintf("%s (capacity %.1f/s, mean hold %s, seed %d)", text, u.rate(1), u.MeanServiceTime, u.Seed)
}

func millis(d time.Duration) string {
	return fmt.Sprintf("%.0f ms", float64(d.Microseconds())/1000)
}

func percent(v float64) string { return fmt.Sprintf("%.1f%%", v) }

func perSecond(n int, r *result) string { return fmt.Sprintf("%.1f", float64(n)/r.seconds) }

// Flood shows what a flooding team does to the others, without and with the controller.
func Flood(out io.Writer, u Options) {
	rows := [][]string{{"admission", "flood", "others' p50", "others' p95", "p95 moved", "others shed", "others left", "flood served/s", "busy"}}
	for _, fifo := range []bool{true, false} {
		calm := time.Duration(0)
		for _, flooded := range []bool{false, true} {
			s := u.base()
			s.fifo = fifo
			s.teams = u.quiet()
			if flooded {
				s.teams = append(s.teams, team{name: "flood", weight: 1, perSecond: evenly(u.rate(floodLevel))})
			}
			r := run(u.Seed, s)
			q := r.sum(isQuiet)
			p95 := q.quantile(95)
			moved := "-"
			if !flooded {
				calm = p95
			} else {
				moved = fmt.Sprintf("%+.1f%%", 100*(p95.Seconds()/calm.Seconds()-1))
			}
			rows = append(rows, []string{
				name(fifo), fmt.Sprint(flooded), millis(q.quantile(50)), millis(p95), moved, percent(q.part(q.shed)),
				percent(q.part(q.left)), perSecond(r.sum(isFlood).completed, r), percent(100 * mean(r.busies)),
			})
		}
	}
	table(out, u.title("Flood: nine teams offer 48% of the capacity, one floods with 300%"), rows)
}

func name(fifo bool) string {
	if fifo {
		return "FIFO"
	}
	return "controller"
}

// SingleTeam shows how much of the capacity one large team without others gets.
func SingleTeam(out io.Writer, u Options) {
	rows := [][]string{{"offered/s", "served/s", "busy"}}
	s := u.base()
	s.teams = []team{{name: "large", weight: 1, perSecond: evenly(u.rate(1.5))}}
	r := run(u.Seed, s)
	t := r.sum(everyTeam)
	rows = append(rows, []string{perSecond(t.offered(), r), perSecond(t.completed, r), percent(100 * mean(r.busies))})
	table(out, u.title("One large team alone at 150% of the capacity"), rows)
}

var loadLevels = []float64{0.5, 1, 1.5, 3}

// LoadLevels shows what is served at several levels of load.
func LoadLevels(out io.Writer, u Options) {
	rows := [][]string{{"admission", "load", "offered/s", "goodput/s", "of that at 100%", "shed", "left", "p95", "shed answer p95", "busy", "peak load"}}
	for _, fifo := range []bool{true, false} {
		full := 0.0
		for _, level := range loadLevels {
			r := run(u.Seed, u.atLevel(level, fifo))
			t := r.sum(everyTeam)
			goodput := float64(t.good) / r.seconds
			if level == 1 {
				full = goodput
			}
			relative := "-"
			if level > 1 {
				relative = fmt.Sprintf("%.3f", goodput/full)
			}
			rows = append(rows, []string{
				name(fifo), percent(100 * level), perSecond(t.offered(), r), fmt.Sprintf("%.1f", goodput), relative,
				percent(t.part(t.shed)), percent(t.part(t.left)), millis(t.quantile(95)),
				millis(time.Duration(r.shedDelay.ValueAtQuantile(95)) * time.Microsecond),
				percent(100 * mean(r.busies)), percent(100 * highest(r.loads)),
			})
		}
	}
	table(out, u.title("Load levels: ten equal teams; goodput counts first tokens within 0.67 s"), rows)
}

func (u Options) atLevel(level float64, fifo bool) scenario {
	s := u.base()
	s.fifo = fifo
	for i := range 10 {
		s.teams = append(s.teams, team{name: fmt.Sprint("team-", i), weight: 1, perSecond: evenly(u.rate(level) / 10)})
	}
	return s
}

// EntryShares shows how four entries with unlike demand divide the capacity.
func EntryShares(out io.Writer, u Options) {
	rows := [][]string{{"share", "load", "entry", "demand", "running", "goodput/s in all", "busy", "peak load"}}
	parts := []float64{0.5, 0.25, 0.125, 0.125}
	for _, level := range []float64{0.9, 3} {
		for _, fixed := range []bool{true, false} {
			s := u.base()
			s.fixedShare = fixed
			s.teams = []team{{name: "all", weight: 1, perSecond: split(u.rate(level), parts...)}}
			rows = append(rows, shareRows(run(u.Seed, s), level, fixed, parts)...)
		}
	}
	table(out, u.title("Four entries share the capacity; only load reports pass, one a second from each server"), rows)
}

func shareRows(r *result, level float64, fixed bool, parts []float64) [][]string {
	total := 0.0
	for _, v := range r.entryRunning {
		total += v
	}
	kind := "by demand and load"
	if fixed {
		kind = "equal"
	}
	var rows [][]string
	for i, p := range parts {
		row := []string{kind, percent(100 * level), fmt.Sprint(i + 1), percent(100 * p), percent(100 * r.entryRunning[i] / total), "", "", ""}
		if i == 0 {
			row[5] = fmt.Sprintf("%.1f", float64(r.sum(everyTeam).good)/r.seconds)
			row[6], row[7] = percent(100*mean(r.busies)), percent(100*highest(r.loads))
		}
		rows = append(rows, row)
	}
	return rows
}

// RetryStorm shows retries while a third of the servers is slow. The others carry
// about 69% of the full capacity.
func RetryStorm(out io.Writer, u Options) {
	rows := [][]string{{"admission", "load", "retries", "attempts a request", "completed", "goodput/s", "p95", "shed", "busy", "peak load"}}
	for _, fifo := range []bool{true, false} {
		for _, level := range []float64{0.6, 0.75} {
			for _, kind := range []string{"none", "without budget", "with budget"} {
				rows = append(rows, stormRow(u, fifo, level, kind))
			}
		}
	}
	table(out, u.title("Retry storm: 13 of 40 servers take 20 times as long, attempts time out after 1 s and go on at the server"), rows)
}

func stormRow(u Options, fifo bool, level float64, kind string) []string {
	s := u.base()
	s.fifo = fifo
	s.teams = []team{{name: "all", weight: 1, perSecond: evenly(u.rate(level))}}
	s.slow, s.slowFactor = serverCount/3, 20
	s.attempts, s.budget = 4, kind == "with budget"
	if kind == "none" {
		s.attempts = 1
	}
	r := run(u.Seed, s)
	t := r.sum(everyTeam)
	began := max(t.completed+t.failed, 1)
	return []string{
		name(fifo), percent(100 * level), kind, fmt.Sprintf("%.2f", float64(r.started)/float64(began)),
		percent(t.part(t.completed)), fmt.Sprintf("%.1f", float64(t.good)/r.seconds), millis(t.quantile(95)),
		percent(t.part(t.shed)), percent(100 * mean(r.busies)), percent(100 * highest(r.loads)),
	}
}
