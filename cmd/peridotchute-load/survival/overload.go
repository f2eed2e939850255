package survival

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"peridotchute.example/cmd/peridotchute-load/caller"
	"peridotchute.example/cmd/peridotchute-load/measure"
	"peridotchute.example/cmd/peridotchute-load/procstat"
	"peridotchute.example/common/clock"
	"peridotchute.example/integration/cluster"
)

const (
	overloadTime      = 8 * time.Second
	sampleInterval    = 500 * time.Millisecond
	capacityProbeTime = 4 * time.Second
	probeCallers      = 32 // per engine, twice its batch size
	megabyte          = 1 << 20
)

// overloadResult holds the figures of one overload.
type overloadResult struct {
	capacity     float64 // complete responses per second at saturation
	offered      float64 // requests per second
	good         float64 // responses within the target per second
	rejected     float64 // share of requests with status 429 or 503
	retryAfter   float64 // share of the rejected requests with Retry-After
	rejectP99    float64 // ms until the rejection arrived
	late         float64 // share with a complete response after the target
	timedOut     float64 // share that reached the deadline, with status 504
	other        float64 // share with any other result
	memoryBefore float64 // resident memory of the largest entry before the overload, MB
	memoryPeak   float64
	memoryAfter  float64
	memoryGrowth float64 // peak of the second half of the samples divided by that of the first
}

// measureOverload measures the capacity, then offers a multiple of it while sampling
// the memory of the entries.
func (o Options) measureOverload(ctx context.Context, c *cluster.Cluster) (overloadResult, error) {
	b := newBalancer(c)
	probe := b.client.RunClosedLoop(ctx, b.urls, o.capacityRequest(), probeCallers*o.Sides, capacityProbeTime)
	out := overloadResult{capacity: probe.Rate(), memoryBefore: largestEntryMemory(c)}
	out.offered = out.capacity * o.Overload
	done := make(chan struct{})
	samples := make(chan []float64, 1)
	go func() { samples <- sampleMemory(c, done) }()
	events := offerLoad(ctx, b, o.request(), out.offered, overloadTime)
	close(done)
	out.countEvents(events, o.Target)
	out.countMemory(<-samples)
	_ = clock.Sleep(ctx, o.After)
	out.memoryAfter = largestEntryMemory(c)
	return out, nil
}

// capacityRequest returns a request without a timeout.
func (o Options) capacityRequest() caller.Request {
	r := o.request()
	r.Timeout = 0
	return r
}

func (v *overloadResult) countEvents(events []event, target time.Duration) {
	rejections := measure.NewDurations()
	var good, rejected, retryAfter, late, timedOut, other float64
	for _, e := range events {
		switch {
		case e.good(target):
			good++
		case e.err == nil && (e.resp.Status == http.StatusTooManyRequests || e.resp.Status == http.StatusServiceUnavailable):
			rejected++
			rejections.Add(e.duration)
			if e.resp.RetryAfter != "" {
				retryAfter++
			}
		case e.err == nil && e.resp.OK():
			late++
		case e.err == nil && e.resp.Status == http.StatusGatewayTimeout:
			timedOut++
		default:
			other++
		}
	}
	n := float64(max(len(events), 1))
	v.good = good / overloadTime.Seconds()
	v.rejected, v.late, v.timedOut, v.other = rejected/n, late/n, timedOut/n, other/n
	if rejected > 0 {
		v.retryAfter = retryAfter / rejected
		v.rejectP99 = rejections.Milliseconds(0.99)
	}
}

// countMemory sets the peak of the samples and compares their second half with the
// first.
func (v *overloadResult) countMemory(samples []float64) {
	var first, second float64
	for i, s := range samples {
		if i < len(samples)/2 {
			first = max(first, s)
		} else {
			second = max(second, s)
		}
	}
	v.memoryPeak = max(first, second)
	if first > 0 {
		v.memoryGrowth = second / first
	}
}

// sampleMemory returns samples of the largest entry's memory, taken every
// sampleInterval until done is closed.
func sampleMemory(c *cluster.Cluster, done <-chan struct{}) []float64 {
	var out []float64
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			out = append(out, largestEntryMemory(c))
		case <-done:
			return out
		}
	}
}

// largestEntryMemory returns the resident memory of the largest entry in MB, 0 if no
// entry could be sampled.
func largestEntryMemory(c *cluster.Cluster) float64 {
	var largest int
	for _, e := range c.Entries() {
		if s, err := procstat.Read(e.PID(), ""); err == nil {
			largest = max(largest, s.ResidentBytes)
		}
	}
	return float64(largest) / megabyte
}

var overloadFigures = []measure.Figure[overloadResult]{
	{Name: "engines' capacity, answers/s", Decimals: 0, Value: func(v overloadResult) float64 { return v.capacity }},
	{Name: "offered, requests/s", Decimals: 0, Value: func(v overloadResult) float64 { return v.offered }},
	{Name: "answered within the target, by capacity", Decimals: 2, Value: func(v overloadResult) float64 { return v.good / v.capacity }},
	{Name: "rejected, %", Decimals: 1, Value: func(v overloadResult) float64 { return 100 * v.rejected }},
	{Name: "rejections with Retry-After, %", Decimals: 1, Value: func(v overloadResult) float64 { return 100 * v.retryAfter }},
	{Name: "time until a rejection, p99, ms", Decimals: 0, Value: func(v overloadResult) float64 { return v.rejectP99 }},
	{Name: "answered late, %", Decimals: 1, Value: func(v overloadResult) float64 { return 100 * v.late }},
	{Name: "given up at the deadline with 504, %", Decimals: 1, Value: func(v overloadResult) float64 { return 100 * v.timedOut }},
	{Name: "other results, %", Decimals: 1, Value: func(v overloadResult) float64 { return 100 * v.other }},
	{Name: "largest entry before, MB", Decimals: 0, Value: func(v overloadResult) float64 { return v.memoryBefore }},
	{Name: "largest entry at its peak, MB", Decimals: 0, Value: func(v overloadResult) float64 { return v.memoryPeak }},
	{Name: "largest entry afterwards, MB", Decimals: 0, Value: func(v overloadResult) float64 { return v.memoryAfter }},
	{Name: "memory in the second half by the first", Decimals: 2, Value: func(v overloadResult) float64 { return v.memoryGrowth }},
}

func reportOverload(out io.Writer, results []overloadResult) error {
	if _, err := fmt.Fprintln(out); err != nil {
		return err
	}
	return measure.Table(out, "overload", overloadFigures, results)
}
