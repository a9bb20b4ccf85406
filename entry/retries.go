package entry

import (
	"sync"

	"github.com/sapphirefield/sapphirefield/retry"
)

// retryBudgets holds one retry budget per service, so that a failing service
// cannot use up the retries of another.
type retryBudgets struct {
	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

func newRetryBudgets() *retryBudgets { return &retryBudgets{budgets: make(map[string]*retry.Budget)} }

// budget must be called with r.mu held.
func (r *retryBudgets) budget(service string) *retry.Budget {
	b := r.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.DefaultBudget())
		r.budgets[service] = b
	}
	return b
}

// takeRetry takes a retry of a call that may have been executed from the
// service's budget and reports whether there was one. A call that was certainly
// not executed needs no budget, because retrying it adds no load.
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
	s.retryBudgets.budget(service).RecordRequest(now())
}
