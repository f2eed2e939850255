package replay

import (
	"time"

	"peridotchute.example/engine"
	standin "peridotchute.example/standin/engine"
)

// boundStep is the interval in which the bound compares demand and capacity.
const boundStep = 100 * time.Millisecond

// bound returns an upper bound, for any policy, of the requests arriving from begin on
// that meet their targets. It treats all workers as one: every prompt prefix is cached,
// no load delays a request, work is spread evenly, and requests that can't be served in
// time are dropped at no cost.
func bound(d Deployment, w Workload, begin time.Duration) int {
	timing := standin.DefaultTiming
	killTime := time.Duration(killAt * float64(w.Length))
	var backlogPrefill, backlogSlots float64 // in seconds of one worker and of one batch slot
	met, i := 0, 0
	for at := time.Duration(0); at < w.Length; at += boundStep {
		workers := float64(d.Workers)
		if at >= killTime {
			workers--
		}
		prefill := workers * boundStep.Seconds()
		slots := workers * boundStep.Seconds() * float64(timing.MaxBatch)
		backlogPrefill = max(backlogPrefill-prefill, 0)
		backlogSlots = max(backlogSlots-slots, 0)
		for ; i < len(w.Arrivals) && w.Arrivals[i].At < at+boundStep; i++ {
			a := w.Arrivals[i]
			tokens := float64(a.NewBytes) / engine.BytesPerToken
			needPrefill := tokens * timing.PrefillPerToken.Seconds()
			needSlots := float64(a.MaxTokens)*timing.DecodeStep.Seconds() + needPrefill
			limit := workers * d.FirstToken.Seconds()
			late := backlogPrefill+needPrefill > limit || backlogSlots+needSlots > limit*float64(timing.MaxBatch)
			if late {
				continue
			}
			backlogPrefill += needPrefill
			backlogSlots += needSlots
			if a.At >= begin {
				met++
			}
		}
	}
	return met
}
