package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestRetryBudgetOfAllEntriesHoldsInEveryWindow(t *testing.T) {
	const parts, ratio, slack, window = 4, 0.2, 54.0, 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		budgets := make([]RetryBudget, parts)
		for i := range budgets {
			budgets[i] = RetryBudget{Ratio: ratio, Slack: slack, Parts: parts, Window: window}
		}
		var requests, repeats []time.Time
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			b := &budgets[rapid.IntRange(0, parts-1).Draw(t, "entry")]
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 6).Draw(t, "repeats") {
				if b.Take(now) {
					repeats = append(repeats, now)
				}
			}
			counted := max(within(requests, now, window), within(requests, now.Add(-window/2), window), within(requests, now.Add(-window), window))
			assert.Assert(t, float64(within(repeats, now, window)) <= ratio*float64(counted)+slack)
		}
	})
}

func within(times []time.Time, now time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if age := now.Sub(at); age >= 0 && age < window {
			n++
		}
	}
	return n
}

func TestRetryBudgetRefills(t *testing.T) {
	b := RetryBudget{Slack: 8, Parts: 4, Window: 10 * time.Second}
	for _, allowed := range []bool{true, true, false} {
		assert.Equal(t, b.Take(start), allowed)
	}
	assert.Assert(t, !b.Take(start.Add(9*time.Second)))
	assert.Equal(t, b.Remaining(start.Add(11*time.Second)), 2)
	assert.Equal(t, b.Remaining(start.Add(time.Hour)), 2)
}

func TestReturnedRetryCountsAtItsOwnTime(t *testing.T) {
	const window = 10 * time.Second
	b := RetryBudget{Slack: 2, Parts: 1, Window: window}
	assert.Assert(t, b.Take(start))
	assert.Assert(t, b.Take(start.Add(window/2)))
	assert.Assert(t, !b.Take(start.Add(window/2)))
	b.Return(start, start.Add(window/2))
	assert.Equal(t, b.Remaining(start.Add(window/2)), 1)
	assert.Assert(t, b.Take(start.Add(window/2)))
	later := start.Add(window + window/budgetSpans)
	b.Return(start, later) // has left the window
	assert.Equal(t, b.Remaining(later), 0)
}
