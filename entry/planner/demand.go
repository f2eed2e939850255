package planner

import (
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/placement"
)

// demand estimates the demand for each artifact from the request counters of
// the workers.
type demand struct {
	estimator  *placement.Estimator
	counts     map[counterID]uint64
	engineTime map[wire.Artifact]engineTime
}

// counterID identifies a request counter. A restarted side process has a new
// incarnation and counts from zero again.
type counterID struct {
	incarnation string
	artifact    wire.Artifact
}

// engineTime is the total engine time used by a number of requests.
type engineTime struct {
	requests uint64
	busy     time.Duration
}

func newDemand(scale float64) *demand {
	return &demand{
		estimator:  placement.NewEstimator(scale),
		counts:     map[counterID]uint64{},
		engineTime: map[wire.Artifact]engineTime{},
	}
}

// observe updates the estimate with the replies to one round of inventory
// queries. The first value of a counter only sets its baseline.
func (d *demand) observe(views []workerReply, now time.Time) {
	arrived := map[wire.Artifact]int{}
	total := map[wire.Artifact]engineTime{}
	counts := map[counterID]uint64{}
	for _, v := range views {
		if !v.ok {
			continue
		}
		for _, c := range v.inventory.Demand {
			id := counterID{incarnation: v.inventory.Identity.Incarnation, artifact: c.Artifact}
			if previous, known := d.counts[id]; known && c.Requests > previous {
				arrived[c.Artifact] += int(c.Requests - previous)
			}
			counts[id] = c.Requests
			t := total[c.Artifact]
			t.requests += c.Requests
			t.busy += c.Busy
			total[c.Artifact] = t
		}
	}
	d.counts, d.engineTime = counts, total
	d.estimator.Observe(arrived, now)
}

// rates returns the smoothed demand, with the mean engine time per request.
func (d *demand) rates() []placement.Demand {
	out := d.estimator.Rates()
	for i := range out {
		if s := d.engineTime[out[i].Artifact]; s.requests > 0 {
			out[i].Service = s.busy / time.Duration(s.requests)
		}
	}
	return out
}
