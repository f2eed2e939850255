package admission

import "time"

// Repeated sends under failures: without a bound, a service whose servers fail
// or are full gets several times its requests just then.

// RetryBudget bounds how often requests of one service are sent beyond their
// first time, over all entries together: in any Window, Ratio times the
// requests of that window or of one just before it, whichever are more, plus
// Slack. Each entry keeps to its own requests and one of Parts equal parts of
// Slack, so that the sum holds also while entries do not hear each other. It is
// not safe for concurrent use.
//
//	budget := admission.RetryBudget{Ratio: 0.2, Slack: 54, Parts: 8, Window: 10 * time.Second}
//	budget.Request(now)         // each client attempt, once
//	if budget.Take(now) { ... } // before each further send, also after a server rejected one
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Parts  int // most entries that there may be at once; at least 1
	Window time.Duration

	spans  [budgetSpans + 1]span // ring; the newest is at number%len
	newest int64
	began  time.Time
}

type span struct {
	requests int
	repeats  int
}

// budgetSpans is how finely the sliding window is counted. Repeats count for up
// to one span longer than the window.
const budgetSpans = 20

// ratioInUse is the share of Ratio that an entry uses. The requests that it
// counts at its last repeat lie within two windows, of which one has half of
// them or more.
const ratioInUse = 0.5

// Request counts a client attempt.
func (b *RetryBudget) Request(now time.Time) {
	b.turn(now)
	b.at(b.newest).requests++
}

// Take counts one further send if the budget allows it.
func (b *RetryBudget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.at(b.newest).repeats++
	return true
}

// Left returns how many further sends the budget allows now.
func (b *RetryBudget) Left(now time.Time) int {
	b.turn(now)
	var sum span
	for i := range b.spans {
		sum.requests += b.spans[i].requests
		sum.repeats += b.spans[i].repeats
	}
	oldest := b.at(b.newest - budgetSpans)
	requests := sum.requests - oldest.requests
	return int(b.Ratio*ratioInUse*float64(requests)+b.Slack/float64(max(b.Parts, 1))) - sum.repeats
}

func (b *RetryBudget) at(number int64) *span {
	n := int64(len(b.spans))
	return &b.spans[((number%n)+n)%n]
}

// turn clears the spans that have left the window.
func (b *RetryBudget) turn(now time.Time) {
	if b.began.IsZero() {
		b.began = now
	}
	number := int64(now.Sub(b.began) / max(b.Window/budgetSpans, 1))
	for b.newest < number {
		b.newest++
		*b.at(b.newest) = span{}
		if number-b.newest > budgetSpans {
			b.newest = number - budgetSpans - 1
		}
	}
}
