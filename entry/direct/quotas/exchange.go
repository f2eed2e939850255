package quotas

import (
	"context"
	"time"

	"peridotchute.example/admission/quota"
)

// batch is what one call carries, with the requests that wait for its answer.
type batch struct {
	pool     string
	exchange Exchange
	payments map[string]quota.Payment
	waiting  map[string][]*asked
	tried    int // calls that failed before
}

// Run makes payments and asks the pool until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	timer := time.NewTimer(minInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		case <-timer.C:
		}
		k.exchange(ctx)
		timer.Reset(minInterval)
	}
}

// exchange begins a call with what waits, unless too many are under way: the end of one of them
// wakes Run again.
func (k *Keeper) exchange(ctx context.Context) {
	select {
	case k.call <- struct{}{}:
	default:
		return
	}
	b := k.nextBatch()
	if b == nil {
		<-k.call
		return
	}
	go func() {
		defer func() {
			<-k.call
			k.signalIfWaiting()
		}()
		k.send(ctx, b)
	}()
}

func (k *Keeper) signalIfWaiting() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.accounts {
		if len(a.waiting) > 0 {
			k.signal()
			return
		}
	}
}

// nextBatch collects what goes to the pool; nil if no request waits and the next payment is not
// due. An empty one shows the pool that this entry uses it. If this entry is the pool, it decides
// at once.
func (k *Keeper) nextBatch() *batch {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.accounts) == 0 {
		return nil
	}
	k.refresh()
	now := k.opts.Clock()
	due := now-k.lastPaid >= interval(k.entries)-minInterval/4
	if !due && !k.anyWaiting() {
		return nil
	}
	pool := k.choosePool(now)
	b := &batch{pool: pool, exchange: Exchange{}, payments: map[string]quota.Payment{}, waiting: map[string][]*asked{}}
	for name, a := range k.accounts {
		b.collect(name, a, now)
	}
	k.lastPaid = now
	if pool == k.opts.Self || pool == "" {
		k.decide(b, k.answer(k.opts.Self, b.exchange, now))
		return nil
	}
	return b
}

// choosePool returns the pool among the entries in reach. The caller holds mu.
func (k *Keeper) choosePool(now time.Duration) string {
	for name, until := range k.avoided {
		if now >= until {
			delete(k.avoided, name)
		}
	}
	return poolOf(k.opts.Peers.Candidates(), func(name string) bool {
		_, avoided := k.avoided[name]
		return avoided
	})
}

func (k *Keeper) anyWaiting() bool {
	for _, a := range k.accounts {
		if len(a.waiting) > 0 {
			return true
		}
	}
	return false
}

// collect adds an account's payment and its waiting requests.
func (b *batch) collect(name string, a *account, now time.Duration) {
	a.part.Earn(a.share, now)
	payment := a.part.Pay()
	line := Line{Earned: rounded(payment.Earned), Returned: rounded(payment.Returned)}
	n := min(len(a.waiting), maxAsked)
	for _, w := range a.waiting[:n] {
		line.Costs = append(line.Costs, w.cost)
	}
	if line.Earned == 0 && line.Returned == 0 && n == 0 {
		a.part.Undo(a.share, payment)
		return
	}
	b.payments[name] = payment
	b.exchange[name] = line
	if n > 0 {
		b.waiting[name] = a.waiting[:n:n]
		a.waiting = append([]*asked(nil), a.waiting[n:]...)
	}
}

// send calls the pool. If that does not answer, its requests ask another one, once; the payment
// is lost unless it cannot have been received.
func (k *Keeper) send(ctx context.Context, b *batch) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	answers, sent, err := k.opts.Peers.Exchange(callCtx, b.pool, b.exchange)
	cancel()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counters.Calls++
	if err == nil {
		k.decide(b, answers)
		return
	}
	k.counters.FailedCalls++
	if ctx.Err() != nil {
		k.decide(b, nil)
		return
	}
	k.avoided[b.pool] = k.opts.Clock() + avoidFor
	if !sent {
		for name, payment := range b.payments {
			if a := k.accounts[name]; a != nil {
				a.part.Undo(a.share, payment)
			}
		}
	}
	if b.tried > 0 || len(b.waiting) == 0 {
		k.decide(b, nil)
		return
	}
	k.retry(ctx, b)
}

// retry asks another pool for the requests of a batch. The caller holds mu.
func (k *Keeper) retry(ctx context.Context, b *batch) {
	next := &batch{exchange: Exchange{}, payments: map[string]quota.Payment{}, waiting: b.waiting, tried: b.tried + 1}
	now := k.opts.Clock()
	next.pool = k.choosePool(now)
	for name, waiting := range b.waiting {
		line := Line{}
		for _, w := range waiting {
			line.Costs = append(line.Costs, w.cost)
		}
		next.exchange[name] = line
	}
	if next.pool == k.opts.Self || next.pool == "" {
		k.decide(next, k.answer(k.opts.Self, next.exchange, now))
		return
	}
	go k.send(ctx, next)
}

// decide passes the pool's answers on. A request without an answer is not allowed. The caller
// holds mu.
func (k *Keeper) decide(b *batch, answers Answers) {
	for name, waiting := range b.waiting {
		answer := answers[name]
		for i, w := range waiting {
			w.decided <- k.decisionOf(answer, i)
		}
	}
}

// decisionOf returns the decision on the request of the given index. The caller holds mu.
func (k *Keeper) decisionOf(answer Answer, i int) Decision {
	switch {
	case i >= len(answer.Allowed) || i >= len(answer.RetryMS):
		k.counters.Unreachable++
		return Decision{Unreachable: true, RetryAfter: unreachableRetryAfter}
	case answer.Allowed[i]:
		k.counters.Pool++
		return Decision{Allowed: true}
	}
	k.counters.Refused++
	return Decision{RetryAfter: time.Duration(answer.RetryMS[i]) * time.Millisecond}
}

// Answer answers the exchange of another entry, which has chosen this one as the pool.
func (k *Keeper) Answer(from string, e Exchange) Answers {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.answer(from, e, k.opts.Clock())
}

// answer is Answer; the caller holds mu. Accounts that this entry does not know, because it has
// another version of the configuration, get no answer, and neither does any while the number of
// entries is unknown.
func (k *Keeper) answer(from string, e Exchange, now time.Duration) Answers {
	k.users.Heard(from, now)
	fraction := k.users.Fraction(k.entries, interval(k.entries), now)
	out := Answers{}
	for name, line := range e {
		a := k.accounts[name]
		if a == nil || k.entries == 0 {
			continue
		}
		a.pool.Receive(quota.Payment{Earned: line.Earned, Returned: line.Returned}, a.share, fraction, now)
		if len(line.Costs) == 0 {
			continue
		}
		answer := Answer{}
		for _, cost := range line.Costs[:min(len(line.Costs), maxAsked)] {
			ok, retryAfter := a.pool.Withdraw(max(cost, 0), a.share, fraction, now)
			answer.Allowed = append(answer.Allowed, ok)
			answer.RetryMS = append(answer.RetryMS, retryAfter.Milliseconds())
		}
		out[name] = answer
	}
	return out
}
