package entry

import (
	"sync"

	"github.com/sapphirefield/sapphirefield/retry"
)

// retryBudgets holds one budget for each service, so that a failing service cannot
// use up the retries of another.
type retryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{budgets: make(map[string]*retry.Budget)} }

// budget must be called with the lock held.
func (r *retryBudgets) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.DefaultBudget())
		r.budgets[service] = b
	}
	return b
}

// takeRetry takes a repetition of a call that may have run from the service's
// budget. A call that certainly did not run needs none: it adds no load.
func (s *Server) takeRetry(service string) bool {
	s.members.mu.Lock()
	overloaded := s.members.view.ServiceOverloaded(now(), service)
	s.members.mu.Unlock()
	s.retryBudgets.mu.Lock()
	defer s.retryBudgets.mu.Unlock()
	return s.retryBudgets.budget(service).Take(now(), overloaded)
}

func (s *Server) recordSuccess(service string) {
	s.retryBudgets.mu.Lock()
	defer s.retryBudgets.mu.Unlock()
	s.retryBudgets.budget(service).RecordSuccess(now())
}
