package planner

import (
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/placement"
)

// demand turns the workers' counters into the demand for each artifact.
type demand struct {
	estimate *placement.Estimator
	seen     map[counterID]uint64
	service  map[wire.Artifact]service
}

// counterID names one counter; a restarted side process begins a new one.
type counterID struct {
	incarnation string
	artifact    wire.Artifact
}

// service is the engine time that requests have taken in all.
type service struct {
	requests uint64
	busy     time.Duration
}

func newDemand(scale float64) *demand {
	return &demand{
		estimate: placement.NewEstimator(scale),
		seen:     map[counterID]uint64{},
		service:  map[wire.Artifact]service{},
	}
}

// observe takes in one round of answers.
func (d *demand) observe(views []view, now time.Time) {
	arrived := map[wire.Artifact]int{}
	total := map[wire.Artifact]service{}
	seen := map[counterID]uint64{}
	for _, v := range views {
		if !v.ok {
			continue
		}
		for _, c := range v.inventory.Demand {
			id := counterID{incarnation: v.inventory.Identity.Incarnation, artifact: c.Artifact}
			if before, known := d.seen[id]; known && c.Requests > before {
				arrived[c.Artifact] += int(c.Requests - before)
			}
			seen[id] = c.Requests
			t := total[c.Artifact]
			t.requests += c.Requests
			t.busy += c.Busy
			total[c.Artifact] = t
		}
	}
	d.seen, d.service = seen, total
	d.estimate.Observe(arrived, now)
}

// rates returns the smoothed demand with the engine time that a request takes.
func (d *demand) rates() []placement.Demand {
	out := d.estimate.Rates()
	for i := range out {
		if s := d.service[out[i].Artifact]; s.requests > 0 {
			out[i].Service = s.busy / time.Duration(s.requests)
		}
	}
	return out
}
