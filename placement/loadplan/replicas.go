package loadplan

import (
	"cmp"
	"slices"
	"time"
)

// Costs and gains of a placement, in squared shares of the mean work per
// server. The contention among the requests of a model is its squared work
// divided by its number of replicas. The sum over all models is lowest when
// replicas are proportional to work.
const (
	lossMargin       = 1.5  // a replica is replaced only for a gain this many times its loss
	loadCost         = 0.02 // cost of a load and its orders
	unrequestedGain  = 1.0  // gain of having an unrequested model loaded
	unloadCost       = 0.05 // cost of an unload
	loadSecondCost   = 0.3  // cost of each second until the replica serves
	serverWorkCost   = 0.3  // cost per unit of work already on the server
	sameZoneCost     = 0.15 // cost of each replica in the same availability zone
	runningCost      = 0.02 // cost of each running request that an unload waits for
	unresponsiveCost = 0.5  // cost of a server that recently lost an order
	recentLoadCost   = 1.0  // extra cost of a victim that was loaded recently
	// resumableCost is the extra cost of a victim whose software version would be left
	// without the model while its streams may be resumed.
	resumableCost = 3.0
	// initialReplicaWork is the work assumed for a replica that was placed
	// before the demand was known.
	initialReplicaWork = 0.5
	// minMeanWork is the mean work per server, in tokens per second, below
	// which more replicas have no noticeable effect.
	minMeanWork = 5000.0
	// contendedWork is the work of a replica, in tokens per second, above which
	// its requests wait for each other. A server prefills 38,000 tokens a
	// second and has at least half of the prompt tokens cached.
	contendedWork = 40_000.0
	// lightWork is the work of a replica, in tokens per second, up to which its
	// requests rarely overlap: a fifth of a server's prefill rate. Another
	// replica would use weight store and server capacity that other models
	// need.
	lightWork = 8_000.0
	// maxUnloadWait is how long an unload may exceed its expected end before
	// the model waiting for its memory is also loaded elsewhere. Most running
	// requests end within this time.
	maxUnloadWait = 3 * time.Second
	// reservedLoads is the number of loads per window reserved for requested
	// models that are not loaded anywhere.
	reservedLoads = 2
	// extraPlannedLoads is how many loads may be planned beyond the
	// concurrent ones, so that their servers can unload meanwhile.
	extraPlannedLoads = 2
)

// decide adds intents in order of priority: models that requests wait for anywhere or at
// the software version to which they are bound, recently requested models that no server
// has loaded, replicas in proportion to work, and unrequested models that no server has
// loaded.
func (p *planning) decide() {
	var waiting, notLoaded, unrequested []need
	for i := range p.models {
		m := &p.models[i]
		waiting = m.appendBound(waiting)
		anywhere := need{model: m, software: anySoftware}
		switch {
		case m.count > 0:
		case m.waiting > 0:
			waiting = append(waiting, anywhere)
		case m.requested:
			notLoaded = append(notLoaded, anywhere)
		default:
			unrequested = append(unrequested, anywhere)
		}
	}
	slices.SortStableFunc(waiting, compareWaiting)
	slices.SortStableFunc(notLoaded, func(a, b need) int { return cmp.Compare(b.model.share, a.model.share) })
	p.placeAll(waiting, ReasonWaiting)
	p.placeAll(notLoaded, ReasonNotLoaded)
	p.addReplicas()
	p.placeAll(unrequested, ReasonUnrequested)
}

// placeAll plans a replica for each need that an earlier one has not met.
func (p *planning) placeAll(needs []need, reason string) {
	for _, n := range needs {
		switch {
		case n.met():
		case n.software != anySoftware:
			p.place(n, ReasonBound)
		default:
			p.place(n, reason)
		}
	}
}

// compareWaiting orders models by their most urgent waiting request, then by the
// number of waiting requests.
func compareWaiting(a, b need) int {
	return cmp.Or(cmp.Compare(a.model.urgency, b.model.urgency), cmp.Compare(b.model.waiting, a.model.waiting))
}

// addReplicas adds replicas, the highest gain first, until none pays off.
func (p *planning) addReplicas() {
	var candidates []*modelPlan
	for i := range p.models {
		if m := &p.models[i]; m.count > 0 && m.needsReplica() {
			candidates = append(candidates, m)
		}
	}
	for len(candidates) > 0 {
		best := 0
		for i, m := range candidates {
			if m.gain() > candidates[best].gain() {
				best = i
			}
		}
		if !candidates[best].needsReplica() || !p.place(need{model: candidates[best], software: anySoftware}, ReasonDemand) {
			candidates = slices.Delete(candidates, best, best+1)
		}
	}
}

// needsReplica reports whether one more replica would noticeably reduce contention.
func (m *modelPlan) needsReplica() bool {
	return m.gain() > loadCost && m.work > lightWork*float64(m.count)
}

// gain returns how much one more replica of a model reduces contention.
func (m *modelPlan) gain() float64 {
	n := float64(m.count)
	return m.share * m.share / (n * (n + 1))
}

// loss returns how much removing one replica of a model increases contention.
// For the last replica it includes unrequestedGain.
func (m *modelPlan) loss() float64 {
	n := float64(m.count)
	if n <= 1 {
		return m.share*m.share + unrequestedGain
	}
	return m.peak * m.peak / (n * (n - 1))
}
