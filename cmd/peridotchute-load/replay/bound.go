package replay

import (
	"time"

	"peridotchute.example/engine"
	standin "peridotchute.example/standin/engine"
)

// boundStep is the step in which the bound balances demand and capacity.
const boundStep = 100 * time.Millisecond

// bound returns how many requests arriving after begin could meet their
// targets if all workers were one: every prompt prefix cached where it is
// needed, no load to wait for, work spread without loss, and what can't be
// served in time left out at no cost. It is an upper bound of any policy.
func bound(d Deployment, w Workload, begin time.Duration) int {
	timing := standin.DefaultTiming
	fail := time.Duration(failAt * float64(w.Length))
	var backlogPrefill, backlogPlaces float64 // seconds of one worker
	met, next := 0, 0
	for at := time.Duration(0); at < w.Length; at += boundStep {
		workers := float64(d.Workers)
		if at >= fail {
			workers--
		}
		prefill := workers * boundStep.Seconds()
		places := workers * boundStep.Seconds() * float64(timing.MaxBatch)
		backlogPrefill = max(backlogPrefill-prefill, 0)
		backlogPlaces = max(backlogPlaces-places, 0)
		for ; next < len(w.Arrivals) && w.Arrivals[next].At < at+boundStep; next++ {
			a := w.Arrivals[next]
			tokens := float64(a.NewBytes) / engine.BytesPerToken
			needPrefill := tokens * timing.PrefillPerToken.Seconds()
			needPlaces := float64(a.MaxTokens)*timing.DecodeStep.Seconds() + needPrefill
			limit := workers * d.FirstToken.Seconds()
			late := backlogPrefill+needPrefill > limit || backlogPlaces+needPlaces > limit*float64(timing.MaxBatch)
			if late {
				continue
			}
			backlogPrefill += needPrefill
			backlogPlaces += needPlaces
			if a.At >= begin {
				met++
			}
		}
	}
	return met
}
