package entry

import (
	"sync"

	"github.com/sapphirefield/sapphirefield/retry"
)

// retries holds one budget for each service, so that a failing service cannot
// use up the retries of another.
type retries struct {
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

func newRetries() *retries { return &retries{budgets: make(map[string]*retry.Budget)} }

// budget must be called with the lock held.
func (r *retries) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.DefaultBudget())
		r.budgets[service] = b
	}
	return b
}

// mayRepeat takes a repetition of a call that may have run from the service's
// budget. A call that certainly did not run needs none: it adds no load.
func (s *Server) mayRepeat(service string) bool {
	s.members.mu.Lock()
	overloaded := s.members.view.ServiceOverloaded(now(), service)
	s.members.mu.Unlock()
	s.retries.mu.Lock()
	defer s.retries.mu.Unlock()
	return s.retries.budget(service).Take(now(), overloaded)
}

func (s *Server) succeeded(service string) {
	s.retries.mu.Lock()
	defer s.retries.mu.Unlock()
	s.retries.budget(service).RecordRequest(now())
}
