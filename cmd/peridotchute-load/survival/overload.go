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
	overloadTime  = 8 * time.Second
	sampleEvery   = 500 * time.Millisecond
	capacityProbe = 4 * time.Second
	probeCallers  = 32 // for each engine, twice its batch
	megabyte      = 1 << 20
)

// overload is what one overload did.
type overload struct {
	capacity   float64 // whole answers a second that the engines can give
	offered    float64
	good       float64 // answers within the target a second
	rejected   float64 // share told to come later
	told       float64 // of these, the share with Retry-After
	rejectP99  float64 // ms until a rejection was told
	late       float64 // share answered whole after the target
	given      float64 // share given up by the entry at its deadline, with status 504
	other      float64 // share with none of these
	entryRest  float64 // resident MB of the largest entry before
	entryPeak  float64
	entryAfter float64
	entryLate  float64 // in the second half, largest by the largest of the first half
}

// overload offers many times the capacity and watches the entries' memory.
func (o Options) overload(ctx context.Context, c *cluster.Cluster) (overload, error) {
	b := newBalancer(c)
	probe := b.client.Closed(ctx, b.urls, o.probe(), probeCallers*o.Sides, capacityProbe)
	out := overload{capacity: probe.Rate(), entryRest: memory(c)}
	out.offered = out.capacity * o.Overload
	done := make(chan struct{})
	peaks := make(chan []float64, 1)
	go func() { peaks <- watch(c, done) }()
	events := offer(ctx, b, o.request(), out.offered, overloadTime)
	close(done)
	out.count(events, o.Target)
	out.growth(<-peaks)
	_ = clock.Sleep(ctx, o.After)
	out.entryAfter = memory(c)
	return out, nil
}

// probe is a request that waits as long as it takes.
func (o Options) probe() caller.Request {
	r := o.request()
	r.Timeout = 0
	return r
}

func (v *overload) count(events []event, target time.Duration) {
	rejections := measure.NewDurations()
	var good, rejected, told, late, given, other float64
	for _, e := range events {
		switch {
		case e.good(target):
			good++
		case e.err == nil && (e.answer.Status == http.StatusTooManyRequests || e.answer.Status == http.StatusServiceUnavailable):
			rejected++
			rejections.Add(e.took)
			if e.answer.RetryAfter != "" {
				told++
			}
		case e.err == nil && e.answer.OK():
			late++
		case e.err == nil && e.answer.Status == http.StatusGatewayTimeout:
			given++
		default:
			other++
		}
	}
	n := float64(max(len(events), 1))
	v.good = good / overloadTime.Seconds()
	v.rejected, v.late, v.given, v.other = rejected/n, late/n, given/n, other/n
	if rejected > 0 {
		v.told = told / rejected
		v.rejectP99 = rejections.Milliseconds(0.99)
	}
}

// growth compares the second half of the samples with the first.
func (v *overload) growth(samples []float64) {
	var first, second float64
	for i, s := range samples {
		if i < len(samples)/2 {
			first = max(first, s)
		} else {
			second = max(second, s)
		}
	}
	v.entryPeak = max(first, second)
	if first > 0 {
		v.entryLate = second / first
	}
}

// watch samples memory until done is closed.
func watch(c *cluster.Cluster, done <-chan struct{}) []float64 {
	var out []float64
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			out = append(out, memory(c))
		case <-done:
			return out
		}
	}
}

// memory returns the resident memory of the largest entry in MB, 0 when none
// could be read.
func memory(c *cluster.Cluster) float64 {
	var largest int
	for _, e := range c.Entries() {
		if s, err := procstat.Read(e.PID(), ""); err == nil {
			largest = max(largest, s.ResidentBytes)
		}
	}
	return float64(largest) / megabyte
}

var overloadFigures = []measure.Figure[overload]{
	{Name: "engines' capacity, answers/s", Decimals: 0, Of: func(v overload) float64 { return v.capacity }},
	{Name: "offered, requests/s", Decimals: 0, Of: func(v overload) float64 { return v.offered }},
	{Name: "answered within the target, by capacity", Decimals: 2, Of: func(v overload) float64 { return v.good / v.capacity }},
	{Name: "rejected, %", Decimals: 1, Of: func(v overload) float64 { return 100 * v.rejected }},
	{Name: "rejections with Retry-After, %", Decimals: 1, Of: func(v overload) float64 { return 100 * v.told }},
	{Name: "time until a rejection, p99, ms", Decimals: 0, Of: func(v overload) float64 { return v.rejectP99 }},
	{Name: "answered late, %", Decimals: 1, Of: func(v overload) float64 { return 100 * v.late }},
	{Name: "given up at the deadline with 504, %", Decimals: 1, Of: func(v overload) float64 { return 100 * v.given }},
	{Name: "anything else, %", Decimals: 1, Of: func(v overload) float64 { return 100 * v.other }},
	{Name: "largest entry before, MB", Decimals: 0, Of: func(v overload) float64 { return v.entryRest }},
	{Name: "largest entry at its peak, MB", Decimals: 0, Of: func(v overload) float64 { return v.entryPeak }},
	{Name: "largest entry afterwards, MB", Decimals: 0, Of: func(v overload) float64 { return v.entryAfter }},
	{Name: "memory in the second half by the first", Decimals: 2, Of: func(v overload) float64 { return v.entryLate }},
}

func reportOverload(out io.Writer, all []overload) error {
	if _, err := fmt.Fprintln(out); err != nil {
		return err
	}
	return measure.Table(out, "overload", overloadFigures, all)
}
