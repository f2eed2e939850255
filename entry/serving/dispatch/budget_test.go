package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetriesAreLimitedToAShareOfTheRequests(t *testing.T) {
	const requests = 10_000
	b := newBudget()
	retries := 0
	for range requests {
		b.addRequest()
		for range maxAttempts - 1 {
			if b.takeRetry() {
				retries++
			}
		}
	}
	assert.Assert(t, retries <= requests*retryShare+retryBurst, "%d retries", retries)
	assert.Assert(t, retries >= requests*retryShare-1, "%d retries", retries)
}
