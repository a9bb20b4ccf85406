package fuzz

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sapphirefield/sapphirefield/attempt"
	"github.com/sapphirefield/sapphirefield/pipeline"
)

// rapidSource is a Source that draws from rapid, so that rapid can shrink a failing run.
type rapidSource struct{ t *rapid.T }

func (s rapidSource) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(s.t, "choice") }

// Checks all invariants of the oracle under faults that rapid chooses.
func TestWorldFromRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lines []string
		w := New(rapidSource{t}, func(line string) { lines = append(lines, line) })
		for range 1500 {
			if err := w.Step(); err != nil {
				t.Fatalf("%v\n%s", err, strings.Join(lines, "\n"))
			}
		}
	})
}

// Checks the same in long worlds, that a run repeats exactly from its seed, and
// that the model still reaches the relevant cases.
func TestWorldFromSeed(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, Run(t.Context(), &out, 20261, 100_000, 20_000), out.String())
	var stats, again Stats
	for world := range uint64(5) {
		for _, total := range []*Stats{&stats, &again} {
			worldStats, err := runWorld(20261, world, 20_000, nil)
			assert.NilError(t, err)
			total.add(worldStats)
		}
	}
	assert.Equal(t, stats, again)
	for name, n := range map[string]int{
		"runs": stats.Runs, "tokens": stats.Tokens, "yes": stats.Yes, "no": stats.No, "unknown": stats.Unknown,
		"replays": stats.Replays, "deaths": stats.Deaths, "drains": stats.Drains, "withdrawals": stats.LateWithdrawals,
	} {
		assert.Assert(t, n > 0, "no %s in %+v", name, stats)
	}
}

// Checks that the ledger alone accepts no attempt while draining, runs each at most
// once and never runs one that it reported as not executed, when attempts are
// offered, repeated or withdrawn in any order within the lifetime of a tombstone.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := attempt.NewLedger("i")
		now := time.Unix(1_700_000_000, 0)
		executions, reportedNotExecuted := map[attempt.Key]int{}, map[attempt.Key]bool{}
		draining := false
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			key := attempt.Key{Request: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "request")), Number: uint32(rapid.IntRange(1, 3).Draw(t, "number"))}
			executed := attempt.ExecutedUnknown
			switch rapid.SampledFrom([]string{"open", "open", "begin", "begin", "finish", "withdraw", "not run", "drain"}).Draw(t, "event") {
			case "open":
				refusal := l.Open(key, rapid.SampledFrom([]string{"i", "i", "i", "old"}).Draw(t, "incarnation"))
				assert.Assert(t, refusal != attempt.RefusalNone || !draining, "accepted %v while draining", key)
				if refusal != attempt.RefusalNone && refusal != attempt.RefusalDuplicate && refusal != attempt.RefusalStaleIncarnation {
					executed = attempt.ExecutedNo
				}
			case "begin":
				if l.Begin(key) {
					executions[key]++
				}
			case "finish":
				if executions[key] > 0 {
					l.Finish(key, now)
				}
			case "withdraw":
				executed = l.Withdraw(key, now)
			case "not run":
				if executions[key] == 1 && l.Running() > 0 && l.IsCurrent(key) {
					executions[key], executed = 0, attempt.ExecutedNo
					l.MarkNotExecuted(key, now)
				}
			case "drain":
				draining = rapid.IntRange(0, 9).Draw(t, "whether") == 0 || draining
				if draining {
					l.Drain()
				}
			}
			reportedNotExecuted[key] = reportedNotExecuted[key] || executed == attempt.ExecutedNo
			assert.Assert(t, executions[key] <= 1, "%v ran %d times", key, executions[key])
			assert.Assert(t, !reportedNotExecuted[key] || executions[key] == 0, "%v ran, but the ledger says that it did not", key)
			assert.Assert(t, l.Running() >= 0 && l.Running() <= l.InProgress())
		}
	})
}

// Checks that the step gate alone runs each step of the latest attempt once and in
// order, for any order of opens, steps and results.
func TestStepGateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := pipeline.NewStepGate()
		next := map[uint32]uint32{}
		results := map[uint32]byte{}
		latest := uint32(0)
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			number := uint32(rapid.IntRange(1, 4).Draw(t, "attempt"))
			key := pipeline.StepKey{Request: "r", Attempt: number, Index: uint32(rapid.IntRange(0, 5).Draw(t, "index"))}
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				opened := g.Open("r", number, 0)
				assert.Equal(t, opened, number > latest)
				latest = max(latest, number)
			case 1, 2:
				verdict, result := g.Offer(key)
				if verdict == pipeline.StepRun {
					assert.Assert(t, number == latest && key.Index == next[number], "step %v runs, want index %d", key, next[number])
					next[number]++
				}
				if verdict == pipeline.StepRepeat {
					assert.Equal(t, result[0], results[number])
				}
			case 3:
				value := byte(rapid.IntRange(0, 255).Draw(t, "value"))
				if g.Done(key, []byte{value}) {
					assert.Assert(t, number == latest && key.Index+1 == next[number])
					results[number] = value
				}
			}
		}
	})
}
