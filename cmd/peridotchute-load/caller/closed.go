package caller

import (
	"context"
	"sync"
	"time"

	"peridotchute.example/cmd/peridotchute-load/measure"
)

// Result sums up the answers of one run.
type Result struct {
	Time      time.Duration
	OK        int64
	Failed    int64
	Tokens    int64 // events of streams
	FirstByte *measure.Durations
	Gaps      *measure.Durations
}

// NewResult returns an empty result.
func NewResult() *Result {
	return &Result{FirstByte: measure.NewDurations(), Gaps: measure.NewDurations()}
}

// Rate returns whole answers a second.
func (r *Result) Rate() float64 { return float64(r.OK) / r.Time.Seconds() }

// TokenRate returns tokens a second.
func (r *Result) TokenRate() float64 { return float64(r.Tokens) / r.Time.Seconds() }

// Add takes one answer.
func (r *Result) Add(a Answer, err error) {
	if err != nil || !a.OK() {
		r.Failed++
		return
	}
	r.OK++
	r.FirstByte.Add(a.FirstByte)
	r.Tokens += int64(len(a.Gaps))
	for _, gap := range a.Gaps {
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

// Closed keeps the given number of callers busy for a duration: each sends its
// next request when the last one was answered. Requests in progress at the end
// are finished. Caller i sends to targets[i % len(targets)].
func (c *Client) Closed(ctx context.Context, targets []string, r Request, callers int, d time.Duration) *Result {
	start := time.Now()
	out := NewResult()
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() {
			own := NewResult()
			for more := true; more; more = time.Since(start) < d && ctx.Err() == nil {
				own.Add(c.Do(ctx, targets[i%len(targets)], r))
			}
			mu.Lock()
			defer mu.Unlock()
			out.merge(own)
		})
	}
	all.Wait()
	out.Time = time.Since(start)
	return out
}
