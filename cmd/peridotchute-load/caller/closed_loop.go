package caller

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/cmd/peridotchute-load/measure"
)

// Result summarizes the responses of one run.
type Result struct {
	Elapsed   time.Duration
	OK        int64
	Failed    int64
	Tokens    int64 // events after the first of each stream
	FirstByte *measure.Durations
	Gaps      *measure.Durations
}

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{FirstByte: measure.NewDurations(), Gaps: measure.NewDurations()}
}

// Rate returns the complete responses per second.
func (r *Result) Rate() float64 { return float64(r.OK) / r.Elapsed.Seconds() }

// TokenRate returns the tokens per second.
func (r *Result) TokenRate() float64 { return float64(r.Tokens) / r.Elapsed.Seconds() }

// Add records one response, or the error of its request.
func (r *Result) Add(resp Response, err error) {
	if err != nil || !resp.OK() {
		r.Failed++
		return
	}
	r.OK++
	r.FirstByte.Add(resp.FirstByte)
	r.Tokens += int64(len(resp.Gaps))
	for _, gap := range resp.Gaps {
		r.Gaps.Add(gap)
	}
}

func (r *Result) merge(other *Result) {
	r.OK += other.OK
	r.Failed += other.Failed
	r.Tokens += other.Tokens
	r.FirstByte.Merge(other.FirstByte)
	r.Gaps.Merge(other.Gaps)
}

// RunClosedLoop runs the given number of concurrent callers for a duration. Each
// sends its next request when the previous one has ended; requests in progress at
// the end run to completion. Caller i sends to targets[i % len(targets)].
func (c *Client) RunClosedLoop(ctx context.Context, targets []string, r Request, callers int, d time.Duration) *Result {
	start := time.Now()
	total := NewResult()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			result := NewResult()
			for more := true; more; more = time.Since(start) < d && ctx.Err() == nil {
				result.Add(c.Do(ctx, targets[i%len(targets)], r))
			}
			mu.Lock()
			defer mu.Unlock()
			total.merge(result)
		})
	}
	wg.Wait()
	total.Elapsed = time.Since(start)
	return total
}
