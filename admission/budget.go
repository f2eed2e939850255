package admission

import "time"

// Without a bound on retries, a service whose servers fail or are full receives
// a multiple of its usual load at that moment.

// RetryBudget bounds the retries of one service over all entries. In any Window
// there are at most Ratio times the requests of that window or of the preceding
// one, whichever has more, plus Slack. Each entry counts its own requests and
// uses an equal part of Slack, so the bound holds even if entries can't communicate.
// An entry that started within Window, and may have forgotten its retries, uses less of
// its part. It is not safe for concurrent use.
//
//	budget := admission.RetryBudget{Ratio: 0.2, Slack: 54, Entries: 5, Started: now, Window: 10 * time.Second}
//	budget.Request(now)         // once for each client attempt
//	if budget.Take(now) { ... } // before each retry, also if a server rejected the request
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration

	Entries int       // number of entries, also of those out of reach; 0 if unknown, then none of Slack is used
	Rank    int       // of this entry among them, from 0
	Started time.Time // start of this entry

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

// Shares of an entry's part of Slack. Their sum is 1: all entries may use their parts,
// and restart within the same window.
const (
	runningShare  = 0.875
	startingShare = 0.125 // within Window after the start
)

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
	return int(b.Ratio*usableRatio*float64(requests)) + b.slack(now) - sum.retries
}

// slack returns the retries of Slack that this entry may use in a window. What remains of
// equal whole parts goes to the entries of the highest ranks, one each, so that all parts
// together are the whole of it, also when a part is less than one retry.
func (b *RetryBudget) slack(now time.Time) int {
	if b.Entries <= 0 {
		return 0
	}
	share := runningShare
	if now.Sub(b.Started) < b.Window {
		share = startingShare
	}
	return int((b.Slack*share + float64(b.Rank)) / float64(b.Entries))
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
