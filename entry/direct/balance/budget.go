package balance

import "time"

// Budget limits what is sent beyond the first attempt of each request.
type Budget struct {
	Ratio  float64       // of the requests of a service
	Slack  float64       // attempts in a window, all entries together
	Window time.Duration // over which both are counted
	Parts  int           // entries among which the slack is divided
}

// spending is this entry's account for one service.
type spending struct {
	left float64 // attempts
	at   time.Time
}

// ratioShare keeps the ratio's part below the limit in each window, whatever
// window the requests fell into.
const ratioShare = 0.7

// SetBudget changes the budget.
func (b *Balancer) SetBudget(budget Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.Budget = budget
}

// Arrived counts a request of the service.
func (b *Balancer) Arrived(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.account(service)
	s.left = min(s.left+b.opts.Budget.Ratio*ratioShare, b.most())
}

// Repeat takes one attempt from the budget and reports whether there was one.
func (b *Balancer) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.account(service)
	if s.left < 1 {
		return false
	}
	s.left--
	return true
}

// BudgetLeft returns how many attempts the budget allows now.
func (b *Balancer) BudgetLeft(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.account(service).left
}

// BudgetsLeft returns what BudgetLeft does for each service.
func (b *Balancer) BudgetsLeft() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := make(map[string]float64, len(b.spent))
	for service, account := range b.spent {
		left[service] = account.left
	}
	return left
}

// most is the largest account: this entry's part of the slack.
func (b *Balancer) most() float64 {
	return b.opts.Budget.Slack / float64(max(b.opts.Budget.Parts, 1))
}

func (b *Balancer) account(service string) *spending {
	s, ok := b.spent[service]
	if !ok {
		s = &spending{left: b.most()}
		b.spent[service] = s
	}
	return s
}
