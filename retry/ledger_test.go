package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a process that begins with all retries although processes before it
// have spent some in the same window, or with fewer long after.
func TestLedgerTellsWhatEarlierProcessesSpent(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLedger(window), time.Unix(1000, 0)
		process := int64(0)
		spentAt := map[time.Time]float64{} // what earlier processes have last said
		said, heardAt := 0.0, now
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "restarts") && process > 0 {
				spentAt[heardAt] = max(said, spentAt[heardAt])
				process++
			}
			process = max(process, 1)
			said, heardAt = float64(rapid.IntRange(0, 50).Draw(t, "spent")), now
			l.Observe(now, "e", process, Spending{1: said})
			most := 0.0
			for at, retries := range spentAt {
				if now.Sub(at) < window {
					most = max(most, retries)
				}
			}
			told := 0.0
			l.Legacies(now, func(name string, to int64, legacy Legacy) {
				assert.Equal(t, name, "e")
				assert.Equal(t, to, process)
				assert.Assert(t, legacy.Age < window)
				told = legacy.Retries
			})
			assert.Assert(t, told <= most, "told %v, %v spent", told, most)
		}
	})
}

// Guards against charges that count in the wrong part of the window.
func TestChargesLeaveTheWindowWithTheirAge(t *testing.T) {
	now := time.Unix(1000, 0)
	for age := time.Duration(0); age < 12*time.Second; age += time.Second {
		b := NewBudget(BudgetOptions{Minimum: 10, Window: 10 * time.Second})
		b.Charge(now, age, 4)
		want := 6.0
		if age >= 10*time.Second {
			want = 10
		}
		assert.Equal(t, b.Available(now), want, "age %v", age)
		assert.Equal(t, b.Spent(now), 10-want)
		assert.Equal(t, b.Available(now.Add(10*time.Second-min(age, 10*time.Second))), 10.0, "age %v", age)
	}
}
