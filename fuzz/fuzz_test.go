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

// drawn takes a world's choices from rapid, which shortens a failing run.
type drawn struct{ t *rapid.T }

func (d drawn) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "choice") }

// Guards all promises to callers in worlds with faults that rapid chooses.
func TestWorldFromRapid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var lines []string
		w := New(drawn{t}, func(line string) { lines = append(lines, line) })
		for range 1500 {
			if err := w.Step(); err != nil {
				t.Fatalf("%v\n%s", err, strings.Join(lines, "\n"))
			}
		}
	})
}

// Guards the same in long worlds, and against a model that stops reaching the
// cases that matter.
func TestWorldFromSeed(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, Run(t.Context(), &out, 20261, 100_000, 20_000), out.String())
	var stats, again Stats
	for world := range uint64(5) {
		for _, total := range []*Stats{&stats, &again} {
			one, err := runWorld(20261, world, 20_000, nil)
			assert.NilError(t, err)
			total.add(one)
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

// Guards R3 and R4 in the ledger alone, where any attempt may be offered,
// repeated or withdrawn at any time within the life of a tombstone.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := attempt.NewLedger("i")
		now := time.Unix(1_700_000_000, 0)
		ran, denied := map[attempt.Key]int{}, map[attempt.Key]bool{}
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
					ran[key]++
				}
			case "finish":
				if ran[key] > 0 {
					l.Finish(key, now)
				}
			case "withdraw":
				executed = l.Withdraw(key, now)
			case "not run":
				if ran[key] == 1 && l.Running() > 0 && l.IsCurrent(key) {
					ran[key], executed = 0, attempt.ExecutedNo
					l.MarkNotExecuted(key, now)
				}
			case "drain":
				draining = rapid.IntRange(0, 9).Draw(t, "whether") == 0 || draining
				if draining {
					l.Drain()
				}
			}
			denied[key] = denied[key] || executed == attempt.ExecutedNo
			assert.Assert(t, ran[key] <= 1, "%v ran %d times", key, ran[key])
			assert.Assert(t, !denied[key] || ran[key] == 0, "%v ran, but the ledger says that it did not", key)
			assert.Assert(t, l.Running() >= 0 && l.Running() <= l.InProgress())
		}
	})
}

// Guards R1 in the gate alone, against any order of opens, steps and results.
func TestStepGateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := pipeline.NewStepGate()
		next := map[uint32]uint32{}
		kept := map[uint32]byte{}
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
					assert.Equal(t, result[0], kept[number])
				}
			case 3:
				value := byte(rapid.IntRange(0, 255).Draw(t, "value"))
				if g.Done(key, []byte{value}) {
					assert.Assert(t, number == latest && key.Index+1 == next[number])
					kept[number] = value
				}
			}
		}
	})
}
