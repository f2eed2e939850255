package balance

import (
	"time"

	"peridotchute.example/admission"
)

// retryBudget returns the unused budget of a service.
func (b *Balancer) retryBudget() admission.RetryBudget {
	o := b.opts.Budget
	return admission.RetryBudget{Ratio: o.Ratio, Slack: o.Slack, Window: o.Window, Started: b.started}
}

// budgetOf returns the retry budget of a service with the present number of entries, or nil
// if the service is unknown. The caller holds b.mu.
func (b *Balancer) budgetOf(service string) *admission.RetryBudget {
	p := b.pools[service]
	if p == nil {
		return nil
	}
	p.budget.Entries, p.budget.Rank = 1, 0
	if b.opts.Entries != nil {
		p.budget.Entries, p.budget.Rank = b.opts.Entries()
	}
	return &p.budget
}

// SetBudget replaces the retry budget of all services. The window of existing
// services is unchanged.
func (b *Balancer) SetBudget(budget Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.Budget = budget
	for _, p := range b.pools {
		p.budget.Ratio, p.budget.Slack = budget.Ratio, budget.Slack
	}
}

// CountRequest counts a new request of the service, which adds to its retry budget.
func (b *Balancer) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[service]; p != nil {
		p.budget.Request(time.Now())
	}
}

// TakeRetry takes one attempt from the service's retry budget. It returns false if
// the budget is used up or the service is unknown.
func (b *Balancer) TakeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgetOf(service)
	return budget != nil && budget.Take(now)
}

// ReturnRetry gives back an attempt that TakeRetry took at the given time, because
// nothing was sent.
func (b *Balancer) ReturnRetry(service string, taken time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[service]; p != nil {
		p.budget.Return(taken, time.Now())
	}
}

// BudgetLeft returns the number of retries that the service's budget allows
// now.
func (b *Balancer) BudgetLeft(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if budget := b.budgetOf(service); budget != nil {
		return float64(budget.Remaining(time.Now()))
	}
	return 0
}

// BudgetsLeft returns the result of BudgetLeft for every service.
func (b *Balancer) BudgetsLeft() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[string]float64, len(b.pools))
	for service := range b.pools {
		left[service] = float64(b.budgetOf(service).Remaining(time.Now()))
	}
	return left
}
