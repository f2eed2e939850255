package admission

import "time"

// Without a bound on retries, a service whose servers fail or are full receives
// a multiple of its usual load at that moment.

// RetryBudget bounds the retries of one service over all entries. In any Window
// there are at most Ratio times the requests of that window or of the preceding
// one, whichever has more, plus Slack. Each entry counts its own requests and
// uses one of Parts equal parts of Slack, so the bound holds even if entries
// can't communicate. It is not safe for concurrent use.
//
//	budget := admission.RetryBudget{Ratio: 0.2, Slack: 54, Parts: 8, Window: 10 * time.Second}
//	budget.Request(now)         // once for each client attempt
//	if budget.Take(now) { ... } // before each retry, also if a server rejected the request
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Parts  int // maximum number of entries; at least 1
	Window time.Duration

	spans  [budgetSpans + 1]budgetSpan // ring, indexed by span number modulo its length
	newest int64                       // number of the newest span
	epoch  time.Time                   // start of span 0
}

type budgetSpan struct {
	requests int
	retries  int
}

// budgetSpans is the number of spans into which the sliding window is divided.
// Retries count for up to one span longer than the window.
const budgetSpans = 20

// usableRatio is the share of Ratio that an entry uses. The requests counted at
// its last retry in a window may span two windows, and one of these contains
// at least half of them.
const usableRatio = 0.5

// Request counts a client attempt.
func (b *RetryBudget) Request(now time.Time) {
	b.advance(now)
	b.at(b.newest).requests++
}

// Take counts one retry and returns true if the budget allows it.
func (b *RetryBudget) Take(now time.Time) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.at(b.newest).retries++
	return true
}

// Return gives back a retry that Take counted at the given time and that was not
// made. It counts for the window of that time, not of now.
func (b *RetryBudget) Return(taken, now time.Time) {
	b.advance(now)
	number := b.number(taken)
	if b.newest-number <= budgetSpans && b.at(number).retries > 0 {
		b.at(number).retries--
	}
}

// Remaining returns how many retries the budget allows now.
func (b *RetryBudget) Remaining(now time.Time) int {
	b.advance(now)
	var sum budgetSpan
	for i := range b.spans {
		sum.requests += b.spans[i].requests
		sum.retries += b.spans[i].retries
	}
	oldest := b.at(b.newest - budgetSpans)
	requests := sum.requests - oldest.requests
	return int(b.Ratio*usableRatio*float64(requests)+b.Slack/float64(max(b.Parts, 1))) - sum.retries
}

// at returns the span with the given number.
func (b *RetryBudget) at(number int64) *budgetSpan {
	n := int64(len(b.spans))
	return &b.spans[((number%n)+n)%n]
}

// advance moves the window to now and clears the spans that enter it.
func (b *RetryBudget) advance(now time.Time) {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	number := b.number(now)
	for b.newest < number {
		b.newest++
		*b.at(b.newest) = budgetSpan{}
		if number-b.newest > budgetSpans {
			b.newest = number - budgetSpans - 1
		}
	}
}

// number returns the number of the span that contains a time.
func (b *RetryBudget) number(t time.Time) int64 {
	return int64(t.Sub(b.epoch) / max(b.Window/budgetSpans, 1))
}
