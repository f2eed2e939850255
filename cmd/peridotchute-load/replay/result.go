package replay

import (
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"peridotchute.example/routing"
)

// warmUp is the share of the run that is not counted.
const warmUp = 0.1

const (
	longestSample = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Result is what one run came to. Times are before scaling.
type Result struct {
	Deployment string
	Policy     routing.Policy
	Seed       uint64

	Offered    int
	Met        int // whole answers within both targets
	Whole      int // whole answers
	Rejected   int // told when to come back
	Failed     int
	Attainment float64 // Met for each accelerator and minute
	Bound      float64 // the same, with perfect knowledge
	Goodput    float64 // whole answers a second

	ModelLoads   int
	AdapterLoads int
	LinkBytes    int64
	Breaches     int // loads beyond the memory, and answers on artifacts unloaded meanwhile

	First *hdrhistogram.Histogram // microseconds
	Token *hdrhistogram.Histogram // microseconds
}

// Moves is the number of loads after the first placement.
func (r Result) Moves() int { return r.ModelLoads + r.AdapterLoads }

func (r *run) result(samples []sample, before, after moves) Result {
	res := Result{
		Deployment:   r.deployment.Name,
		Policy:       r.policy,
		ModelLoads:   after.models - before.models,
		AdapterLoads: after.adapters - before.adapters,
		LinkBytes:    after.linkBytes - before.linkBytes,
		Breaches:     after.breaches + after.inUse,
		First:        hdrhistogram.New(1, longestSample, digits),
		Token:        hdrhistogram.New(1, longestSample, digits),
	}
	begin := time.Duration(warmUp * float64(r.workload.Length))
	for _, s := range samples {
		if s.at >= begin {
			r.add(&res, s)
		}
	}
	counted := r.workload.Length - begin
	accelerators := float64(r.deployment.Workers)
	res.Attainment = float64(res.Met) / accelerators / counted.Minutes()
	res.Bound = float64(bound(r.deployment, r.workload, begin)) / accelerators / counted.Minutes()
	res.Goodput = float64(res.Whole) / counted.Seconds()
	return res
}

func (r *run) add(res *Result, s sample) {
	res.Offered++
	switch {
	case s.whole:
		res.Whole++
	case s.retry && s.status == http.StatusTooManyRequests:
		res.Rejected++
		return
	default:
		res.Failed++
		return
	}
	first := time.Duration(float64(s.first) / r.opts.Scale)
	token := time.Duration(float64(s.perToken) / r.opts.Scale)
	_ = res.First.RecordValue(first.Microseconds())
	_ = res.Token.RecordValue(token.Microseconds())
	if first <= r.deployment.FirstToken && token <= r.deployment.Token {
		res.Met++
	}
}
