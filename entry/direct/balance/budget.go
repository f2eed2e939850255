package balance

import (
	"time"

	"peridotchute.example/admission"
)

func (b Budget) account() admission.RetryBudget {
	return admission.RetryBudget{Ratio: b.Ratio, Slack: b.Slack, Parts: b.Parts, Window: b.Window}
}

// SetBudget changes the budget.
func (b *Balancer) SetBudget(budget Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.Budget = budget
	for _, p := range b.pools {
		p.budget.Ratio, p.budget.Slack, p.budget.Parts = budget.Ratio, budget.Slack, budget.Parts
	}
}

// Arrived counts a request of the service.
func (b *Balancer) Arrived(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[service]; p != nil {
		p.budget.Request(time.Now())
	}
}

// Repeat takes one attempt from the budget and reports whether there was one.
func (b *Balancer) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pools[service]
	return p != nil && p.budget.Take(time.Now())
}

// BudgetLeft returns how many attempts the budget allows now.
func (b *Balancer) BudgetLeft(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p := b.pools[service]; p != nil {
		return float64(p.budget.Left(time.Now()))
	}
	return 0
}

// BudgetsLeft returns what BudgetLeft does for each service.
func (b *Balancer) BudgetsLeft() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[string]float64, len(b.pools))
	for service, p := range b.pools {
		left[service] = float64(p.budget.Left(time.Now()))
	}
	return left
}
