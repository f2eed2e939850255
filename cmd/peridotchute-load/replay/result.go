package replay

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotchute.example/routing"
)

// warmUpShare is the share of the run whose requests are not counted.
const warmUpShare = 0.1

const (
	maxSampleMicros   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3 // of the histograms
)

// Result is the result of one run. Times are before scaling.
type Result struct {
	Deployment string
	Policy     routing.Policy
	Seed       uint64

	Offered    int     // requests after the warm-up
	Met        int     // complete answers within both targets
	Complete   int     // complete answers
	Rejected   int     // status 429 with Retry-After
	Failed     int     // all other requests
	Attainment float64 // Met per accelerator and minute
	Bound      float64 // upper bound of Attainment for any policy
	Goodput    float64 // complete answers per second

	ModelLoads   int   // after the initial placement
	AdapterLoads int   // after the initial placement
	LinkBytes    int64 // sent between regions
	Breaches     int   // loads beyond the memory, and requests completed on artifacts unloaded meanwhile

	First *hdrhistogram.Histogram // time to the first token in microseconds
	Token *hdrhistogram.Histogram // mean time per token in microseconds
}

// Moves returns the number of loads after the initial placement.
func (r Result) Moves() int { return r.ModelLoads + r.AdapterLoads }

// result computes the result from the samples and the counters before and after the
// replay.
func (r *run) result(samples []sample, before, after counters) Result {
	res := Result{
		Deployment:   r.deployment.Name,
		Policy:       r.policy,
		ModelLoads:   after.models - before.models,
		AdapterLoads: after.adapters - before.adapters,
		LinkBytes:    after.linkBytes - before.linkBytes,
		Breaches:     after.breaches + after.inUse,
		First:        hdrhistogram.New(1, maxSampleMicros, significantDigits),
		Token:        hdrhistogram.New(1, maxSampleMicros, significantDigits),
	}
	begin := time.Duration(warmUpShare * float64(r.workload.Length))
	for _, s := range samples {
		if s.at >= begin {
			r.add(&res, s)
		}
	}
	counted := r.workload.Length - begin
	accelerators := float64(r.deployment.Workers)
	res.Attainment = float64(res.Met) / accelerators / counted.Minutes()
	res.Bound = float64(bound(r.deployment, r.workload, begin)) / accelerators / counted.Minutes()
	res.Goodput = float64(res.Complete) / counted.Seconds()
	return res
}

// add counts one sample.
func (r *run) add(res *Result, s sample) {
	res.Offered++
	switch {
	case s.complete:
		res.Complete++
	case s.hasRetryAfter && s.status == http.StatusTooManyRequests:
		res.Rejected++
		return
	default:
		res.Failed++
		return
	}
	first := time.Duration(float64(s.firstToken) / r.opts.Scale)
	token := time.Duration(float64(s.perToken) / r.opts.Scale)
	_ = res.First.RecordValue(first.Microseconds())
	_ = res.Token.RecordValue(token.Microseconds())
	if first <= r.deployment.FirstToken && token <= r.deployment.Token {
		res.Met++
	}
}
