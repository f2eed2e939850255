package quotas

import (
	"context"
	"math"
)

// Exchange is what an entry gives to the pool and asks of it, by the names of accounts.
type Exchange map[string]Line

// Line is the part of an Exchange for one account, in the unit of its quota.
type Line struct {
	Earned   float64   `json:"e,omitempty"`
	Returned float64   `json:"r,omitempty"` // by requests that were allowed and did not run
	Costs    []float64 `json:"c,omitempty"` // of requests that ask to be allowed, in their order
}

// Answers are the pool's answers to the requests of an Exchange.
type Answers map[string]Answer

// Answer is the pool's answer for one account.
type Answer struct {
	Allowed []bool  `json:"a,omitempty"` // by request
	RetryMS []int64 `json:"t,omitempty"` // by refused request: when it can be allowed; 0 means never
}

// Peers are the other entries.
type Peers interface {
	// Candidates returns the entries that may be the pool, this one included, those with the
	// most processor first.
	Candidates() []Candidate
	// Entries returns the number of entries of the deployment; 0 while it is unknown.
	Entries() int
	// Exchange calls the pool. sent is false if it cannot have received the call.
	Exchange(ctx context.Context, pool string, e Exchange) (answers Answers, sent bool, err error)
}

// Candidate is an entry in reach.
type Candidate struct {
	Name      string
	Processor float64 // of its VM, in cores of usual speed; 0 if unknown
}

// Payments are rounded down, those of less than manyTokens to smallestPart, to keep messages short.
const (
	manyTokens   = 100
	smallestPart = 0.001
)

// rounded returns a payment as messages carry it.
func rounded(tokens float64) float64 {
	if tokens >= manyTokens {
		return math.Floor(tokens)
	}
	return math.Floor(max(tokens, 0)/smallestPart) * smallestPart
}
