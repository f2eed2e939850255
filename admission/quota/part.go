package quota

import "time"

// reserveOfEarned is the share of what an entry earns that fills its reserve; the rest is
// paid to the pool. Otherwise small requests, which reserves can pay, would leave nothing for large ones.
const reserveOfEarned = 0.5

// Part is an entry's own tokens of one account. The zero value is empty.
type Part struct {
	reserve float64 // pays requests of this entry
	surplus float64 // goes to the pool next
	handed  float64 // handed back by requests that did not run; goes to the pool next
	at      time.Duration
	begun   bool
}

// Earn adds what the entry has earned since the last call. now is the reading of a clock that
// runs while the machine is suspended; one that goes back earns nothing until it has caught up.
func (p *Part) Earn(s Share, now time.Duration) {
	if !p.begun {
		p.at, p.begun = now, true
	}
	elapsed := max(now-p.at, 0)
	p.at = max(p.at, now)
	earned := min(s.earned*elapsed.Seconds(), s.transit+s.reserve)
	toReserve := min(earned*reserveOfEarned, max(0, s.reserve-p.reserve))
	p.reserve = min(p.reserve+toReserve, s.reserve)
	p.surplus = min(p.surplus+earned-toReserve, s.transit)
}

// Take takes the cost of a request and reports whether the part could pay it.
func (p *Part) Take(cost float64) bool {
	if cost > p.reserve {
		return false
	}
	p.reserve -= cost
	return true
}

// Return hands back the cost of a request that was allowed and did not run. Only the pool gives
// it out again, since the part would exceed what it may hold.
func (p *Part) Return(cost float64) { p.handed += cost }

// Payment is what an entry gives to the pool.
type Payment struct {
	Earned   float64
	Returned float64 // by requests that were allowed and did not run
}

// Pay removes and returns what the pool gets.
func (p *Part) Pay() Payment {
	out := Payment{Earned: p.surplus, Returned: p.handed}
	p.surplus, p.handed = 0, 0
	return out
}

// Undo takes a payment back that is known not to have been sent.
func (p *Part) Undo(s Share, payment Payment) {
	p.surplus = min(p.surplus+payment.Earned, s.transit)
	p.handed += payment.Returned
}

// Reserve returns the tokens with which the part can pay requests.
func (p *Part) Reserve() float64 { return p.reserve }
