package retry

import "time"

// Spending is how many retries of the window a process has taken beyond those that its
// requests earn, by service.
type Spending map[uint64]float64

// Legacy is what earlier processes under a name had spent on a service, Age ago.
type Legacy struct {
	Service uint64
	Retries float64
	Age     time.Duration
}

// ledgerForget is how long a process is remembered that is not heard any more, at least.
const ledgerForget = time.Minute

// Ledger remembers what the processes of a fleet say that they have spent, so that a
// process that replaces another one under its name can be told. A budget's window counts
// the retries of both. It is not safe for concurrent use.
type Ledger struct {
	window    time.Duration
	processes map[string]*ledgerProcess
}

type ledgerProcess struct {
	process int64
	spent   Spending
	heardAt time.Time
	// legacy is what the processes before it had spent.
	legacy map[uint64]pastSpending
}

type pastSpending struct {
	retries float64
	at      time.Time
}

// NewLedger returns a ledger for budgets with the given window.
func NewLedger(window time.Duration) *Ledger {
	return &Ledger{window: window, processes: map[string]*ledgerProcess{}}
}

// Observe records what a process says. Messages of earlier processes under its name must
// be left out once it has been heard.
func (l *Ledger) Observe(now time.Time, name string, process int64, spent Spending) {
	p := l.processes[name]
	if p == nil || p.process != process {
		p = &ledgerProcess{process: process, legacy: l.legacyOf(now, p)}
		l.processes[name] = p
	}
	p.spent, p.heardAt = spent, now
}

// legacyOf returns what a process leaves to the next one: a process that was not told of
// the one before it has left that out of what it has spent.
func (l *Ledger) legacyOf(now time.Time, p *ledgerProcess) map[uint64]pastSpending {
	legacy := map[uint64]pastSpending{}
	if p == nil {
		return legacy
	}
	for service, past := range p.legacy {
		if now.Sub(past.at) < l.window {
			legacy[service] = past
		}
	}
	if now.Sub(p.heardAt) >= l.window {
		return legacy
	}
	for service, retries := range p.spent {
		if retries >= legacy[service].retries {
			legacy[service] = pastSpending{retries, p.heardAt}
		}
	}
	return legacy
}

// Legacies calls tell for each process and service with retries of earlier processes
// that still count, and forgets processes that are not heard any more.
func (l *Ledger) Legacies(now time.Time, tell func(name string, process int64, legacy Legacy)) {
	for name, p := range l.processes {
		if now.Sub(p.heardAt) > max(l.window, ledgerForget) {
			delete(l.processes, name)
			continue
		}
		for service, past := range p.legacy {
			age := now.Sub(past.at)
			if age >= l.window {
				delete(p.legacy, service)
				continue
			}
			tell(name, p.process, Legacy{Service: service, Retries: past.retries, Age: age})
		}
	}
}
