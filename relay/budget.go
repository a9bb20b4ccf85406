package relay

import (
	"sync"
	"time"

	"github.com/sapphirefield/sapphirefield/logevent"
	"github.com/sapphirefield/sapphirefield/retry"
)

// lockedBudget is a retry budget for concurrent use.
type lockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// RecordRequest counts a request.
func (b *lockedBudget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.RecordRequest(now)
}

// Take counts a retry if the budget allows it.
func (b *lockedBudget) Take(now time.Time, overloaded bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Take(now, overloaded)
}

// TakeLeaving counts a retry if the budget allows it and has more left than a fraction.
func (b *lockedBudget) TakeLeaving(now time.Time, fraction float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TakeLeaving(now, fraction)
}

// Left returns how many retries the budget still allows.
func (b *lockedBudget) Left(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Available(now)
}

const (
	// budgetShare is the share of the permitted retries that entries use. The rest
	// is a margin for time windows that are not aligned with those of the budget.
	budgetShare = 0.7
	// assumedEntries is the number of entries among which the fixed part of the
	// retries is divided until the store provides the actual number.
	assumedEntries = 8
)

// budget returns the retry budget of a service. The fixed part is divided by
// the number of entries registered in the store, including those that are
// gone.
func (e *Entry) budget(service string) *lockedBudget {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = &lockedBudget{budget: retry.NewBudget(retry.BudgetOptions{
			Fraction: e.settings.RetryRatio * budgetShare, Window: e.settings.RetryWindow,
		})}
		e.budgets[service] = b
		if past, left := e.inherited[serverHash(service)]; left {
			b.charge(time.Now(), time.Since(past.at), past.retries)
		}
	}
	b.setMinimum(e.settings.RetryExtra * budgetShare / float64(e.entryCount()))
	return b
}

func (b *lockedBudget) setMinimum(minimum float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.SetMinimum(minimum)
}

// spent returns how many retries of the window requests have not earned.
func (b *lockedBudget) spent(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Spent(now)
}

func (b *lockedBudget) charge(now time.Time, age time.Duration, retries float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Charge(now, age, retries)
}

// inheritedRetries are retries that earlier processes of this entry have taken. They
// count in the same window as those of this process.
type inheritedRetries struct {
	retries float64
	at      time.Time
}

// spentRetries returns what this process has taken out of the budgets, for the others to
// remember: the process after it begins with that.
func (e *Entry) spentRetries(now time.Time) retry.Spending {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	spent := retry.Spending{}
	for service, b := range e.budgets {
		if retries := b.spent(now); retries > 0 {
			spent[serverHash(service)] = retries
		}
	}
	return spent
}

// maxLegacies bounds the legacies of a message, which must fit into a datagram. The ledger
// tells them in another order each time, so all are told in turn.
const maxLegacies = 1000

// retryLegacies returns what processes of other entries should know of those before them.
func (e *Entry) retryLegacies(now time.Time) (legacies []processLegacy) {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	e.ledger.Legacies(now, func(name string, process int64, l retry.Legacy) {
		if len(legacies) < maxLegacies {
			legacies = append(legacies, processLegacy{processID(name, process), l})
		}
	})
	return legacies
}

// applyPeerSpending remembers what another entry has spent, and takes what earlier
// processes of this entry had spent out of its own budgets. All others tell of it, by what
// each has heard last: the most that one tells counts, and only once.
func (e *Entry) applyPeerSpending(now time.Time, m message, self uint64) {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	e.ledger.Observe(now, m.sender, m.startNanos, m.spent)
	for _, l := range m.legacies {
		if l.To == self {
			e.inherit(now, m.sender, l.Legacy)
		}
	}
}

// inherit takes a legacy out of the budget of its service. e.budgetsMu is held.
func (e *Entry) inherit(now time.Time, teller string, l retry.Legacy) {
	more := l.Retries - e.inherited[l.Service].retries
	if more <= 0 || l.Age >= e.settings.RetryWindow {
		return
	}
	e.inherited[l.Service] = inheritedRetries{l.Retries, now.Add(-l.Age)}
	for service, b := range e.budgets {
		if serverHash(service) == l.Service {
			b.charge(now, l.Age, more)
		}
	}
	logevent.Write(e.logger, logevent.RetriesInherited).Uint64("service_hash", l.Service).Str("entry", teller).Float64("retries", l.Retries).
		Dur("age_ms", l.Age).Msg("")
}
