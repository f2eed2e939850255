package routing

import (
	"math/rand/v2"
	"time"
)

// Policy names a way to choose a server.
type Policy string

// The policies. All but Adaptive are baselines for benchmarks.
const (
	Adaptive      Policy = "adaptive"        // least expected wait; see Choose
	RoundRobin    Policy = "round-robin"     // the servers with the artifact resident, in turn
	LeastInFlight Policy = "least-in-flight" // the server with the artifact resident and the fewest own requests
	Static        Policy = "static"          // as LeastInFlight, with a placement that never changes
)

// Chooser chooses servers according to a Policy. It is not safe for concurrent use.
type Chooser struct {
	policy Policy
	turn   int
}

// NewChooser returns a chooser; the empty policy means Adaptive.
func NewChooser(p Policy) *Chooser { return &Chooser{policy: p} }

// Choose returns the server for one request, or ErrNoServer.
func (c *Chooser) Choose(candidates []Candidate, req Request, now time.Time, rnd *rand.Rand) (Choice, error) {
	switch c.policy {
	case RoundRobin:
		c.turn++
		return c.pick(candidates, req, now, func(n int) int { return c.turn % n })
	case LeastInFlight, Static:
		return c.pick(candidates, req, now, nil)
	}
	return Choose(candidates, req, now, rnd)
}

// pick chooses among the usable servers that have the artifact resident, or
// among all usable servers if none has. turn returns the position to use among
// n servers; nil means the server with the fewest own requests.
func (c *Chooser) pick(candidates []Candidate, req Request, now time.Time, turn func(n int) int) (Choice, error) {
	indexes := usable(candidates, req, now, true)
	if len(indexes) == 0 {
		indexes = usable(candidates, req, now, false)
	}
	if len(indexes) == 0 {
		return Choice{}, ErrNoServer
	}
	if turn != nil {
		i := indexes[turn(len(indexes))]
		return Choice{Server: candidates[i].Server, Index: i, Reason: "next in turn"}, nil
	}
	best := indexes[0]
	for _, i := range indexes[1:] {
		if candidates[i].Server.InFlight < candidates[best].Server.InFlight {
			best = i
		}
	}
	return Choice{Server: candidates[best].Server, Index: best, Reason: "least in flight"}, nil
}

// usable returns the indexes of the candidates that can take the request, all or
// only those with the artifact resident.
func usable(candidates []Candidate, req Request, now time.Time, resident bool) []int {
	var out []int
	for i := range candidates {
		s := candidates[i].Server
		if s.Serving && s.Name != req.Exclude && !now.Before(s.RetryAt) && (candidates[i].Resident || !resident) {
			out = append(out, i)
		}
	}
	return out
}
