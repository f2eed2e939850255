// Package quota decides which requests the quota of a client account allows when the account's
// requests come to many entries, of which some may be out of reach.
//
// The load it answers: an account sends through all entries at once, unevenly, and up to many
// times its quota, while entries are cut off, frozen, restarted or split into halves.
//
// Each entry earns an equal part of the quota, whatever it can reach, and pays what it does
// not need at once to one entry, the pool, which grants requests that the own part of their
// entry cannot pay. Tokens only move: an entry takes them from its own part before it sends
// them, and a message whose answer is lost loses tokens.
//
// Invariant: the requests allowed within any window cost at most the rate times the window, plus
// the burst, plus what Bounds tolerates, as long as all entries count the entries alike. No clock
// is compared with another one, and no entry needs to know which others live.
//
// It has no clock and does no I/O.
package quota

import "time"

// Limit is the quota of an account, in its unit.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Bounds is what a deployment tolerates above its quotas.
type Bounds struct {
	Window  time.Duration // in which requests are counted
	Overage float64       // fraction above the quota
	Slack   float64       // in the quota's unit, beside that
}

// spare returns how much above the limit may be used within a window.
func (b Bounds) spare(l Limit) float64 {
	return b.Overage*(l.PerSecond*b.Window.Seconds()+l.Burst) + b.Slack
}

// Shares of what is tolerated. The rest covers entries that count the entries differently, and
// those that change from one pool to another.
const (
	poolShare    = 0.5  // in the pool
	reserveShare = 0.1  // kept by all entries together, to pay small requests without a message
	transitShare = 0.1  // earned by all entries between two payments
	returnShare  = 0.25 // handed back within a window by requests that did not run
)

// paymentMargin is how many intervals between payments may pass before an entry stops earning.
const paymentMargin = 1.5

// Share is how an account's quota is divided among the entries. The zero value allows nothing.
type Share struct {
	earned  float64 // by each entry, per second
	reserve float64 // kept by each entry
	transit float64 // earned by each entry between two payments, at most
	pool    float64 // the most that the pool holds
	returns float64 // handed back at once, at most; forgotten within a window
	rate    float64 // earned by all entries, per second
	window  time.Duration
}

// Divide divides a limit among a number of entries that make payments at an interval. With no
// entries, while their number is unknown, nobody earns anything.
//
// Within a window the rate and the burst may be used. So the burst is earned evenly in it where
// the window is known, and the pool holds what is tolerated; else the pool holds the burst.
func Divide(l Limit, b Bounds, entries int, interval time.Duration) Share {
	if entries <= 0 || l.PerSecond <= 0 {
		return Share{}
	}
	n, spare := float64(entries), b.spare(l)
	rate, pool := l.PerSecond, l.Burst
	if b.Window > 0 {
		rate, pool = l.PerSecond+l.Burst/b.Window.Seconds(), spare*poolShare
	}
	reserve := spare * reserveShare
	transit := rate * interval.Seconds() * paymentMargin
	kept := max(0, reserve+transit-spare*(reserveShare+transitShare)) // beyond what is tolerated
	return Share{
		earned:  rate / n,
		reserve: reserve / n,
		transit: transit / n,
		pool:    max(0, pool-kept),
		returns: spare * returnShare / 2, // as much again is forgotten within a window
		rate:    rate,
		window:  b.Window,
	}
}

// used returns the share with the limits of a pool that a fraction of the entries uses.
func (s Share) used(fraction float64) Share {
	s.pool *= fraction
	s.returns *= fraction
	return s
}
