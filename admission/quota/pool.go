package quota

import "time"

const (
	// maxRetryAfter bounds the time after which a refused request is told to return.
	maxRetryAfter = 5 * time.Second

	// minRetryAfter is the least one: about what the entries need to earn and pay something.
	minRetryAfter = 100 * time.Millisecond

	// returnTime is how long after its Retry-After a large request may return before smaller
	// ones get what was saved for it.
	returnTime = 500 * time.Millisecond
)

// Pool is the tokens of one account that entries have paid to one of them. Of its requests, those that cost usualCost of what
// it may hold or less are allowed as long as it is not nearly empty, whatever they cost; the tokens
// for a larger one are saved until it returns.
//
// The zero value is empty. Each method gets the share of the account, and the fraction of the
// entries that use the pool.
type Pool struct {
	begun    bool
	level    float64
	expected float64 // cost of refused requests that are expected to return
	returned float64 // handed back lately
	at       time.Duration
	saved    float64       // level at which the largest refused request is allowed
	savedTo  time.Duration // until when smaller ones wait for that level too
}

// usualCost is the cost of the requests that are allowed alike, as a fraction of what the pool may
// hold.
const usualCost = 0.2

// fullPool is the level, as a fraction of what the pool may hold, at which nothing more is saved.
const fullPool = 0.9

// Receive adds a payment of an entry. Tokens that were handed back count only as far as the
// window allows: their requests may have been allowed before it, and are not part of it.
func (p *Pool) Receive(payment Payment, s Share, fraction float64, now time.Duration) {
	s = s.used(fraction)
	p.forget(s, now)
	returned := min(max(payment.Returned, 0), max(0, s.returns-p.returned))
	p.returned += returned
	p.level = min(p.level+max(payment.Earned, 0)+returned, s.pool)
}

// Withdraw takes the cost of a request and reports whether it is allowed. If not, retryAfter is
// when it can be, also if the other refused ones return first; zero means never, as the pool never
// holds as much.
func (p *Pool) Withdraw(cost float64, s Share, fraction float64, now time.Duration) (ok bool, retryAfter time.Duration) {
	most := s.pool
	s = s.used(fraction)
	p.forget(s, now)
	if cost > most {
		return false, 0
	}
	own := max(cost, s.pool*usualCost)
	needed := own
	if p.saves(now) && own < p.saved {
		needed = min(p.saved+cost, s.pool*fullPool) // leaves what is saved, unless it would overflow
	}
	if p.level >= needed {
		p.level -= cost
		if own >= p.saved {
			p.savedTo = now
		}
		return true, 0
	}
	retryAfter = p.retryAfter(needed, s)
	p.expected += cost
	if cost > s.pool*usualCost && (!p.saves(now) || own > p.saved) {
		p.saved, p.savedTo = own, now+retryAfter+returnTime
	}
	return false, retryAfter
}

// forget drops what is not expected any more.
func (p *Pool) forget(s Share, now time.Duration) {
	if !p.begun {
		p.begun, p.returned = true, s.returns // the pool before may have got as much
	}
	p.level = min(p.level, s.pool)
	elapsed := max(now-p.at, 0).Seconds()
	p.at = max(p.at, now)
	p.expected = min(max(p.expected-elapsed*s.rate, 0), s.rate*maxRetryAfter.Seconds())
	if s.window > 0 {
		p.returned = max(p.returned-elapsed/s.window.Seconds()*s.returns, 0)
	}
	if p.saved > s.pool {
		p.savedTo = now // the limit was lowered
	}
}

// saves reports whether tokens are saved for a large request that was refused.
func (p *Pool) saves(now time.Duration) bool { return now < p.savedTo }

func (p *Pool) retryAfter(needed float64, s Share) time.Duration {
	if s.rate <= 0 {
		return maxRetryAfter
	}
	missing := needed - p.level + p.expected
	wait := time.Duration(missing / s.rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// Level returns the tokens in the pool.
func (p *Pool) Level() float64 { return p.level }
