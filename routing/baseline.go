package routing

import (
	"math/rand/v2"
	"time"
)

// Policy names a way to choose a server.
type Policy string

// The policies. All but Adaptive are baselines for measurements.
const (
	Adaptive      Policy = "adaptive"        // least expected wait; see Choose
	RoundRobin    Policy = "round-robin"     // each holder of the artifact in turn
	LeastInFlight Policy = "least-in-flight" // the holder with the fewest own requests
	Static        Policy = "static"          // as least-in-flight, with a placement that is never changed
)

// Chooser chooses servers by one policy. It is not safe for concurrent use.
type Chooser struct {
	policy Policy
	turn   int
}

// NewChooser returns a chooser; the empty policy means Adaptive.
func NewChooser(p Policy) *Chooser { return &Chooser{policy: p} }

// Choose picks the server of one request.
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

// pick chooses among the servers that hold the artifact, or among all when
// none does: by turn, or the least busy without one.
func (c *Chooser) pick(candidates []Candidate, req Request, now time.Time, turn func(n int) int) (Choice, error) {
	holders := usable(candidates, req, now, true)
	if len(holders) == 0 {
		holders = usable(candidates, req, now, false)
	}
	if len(holders) == 0 {
		return Choice{}, ErrNoServer
	}
	if turn != nil {
		i := holders[turn(len(holders))]
		return Choice{Server: candidates[i].Server, Index: i, Reason: "next in turn"}, nil
	}
	best := holders[0]
	for _, i := range holders[1:] {
		if candidates[i].Server.InFlight < candidates[best].Server.InFlight {
			best = i
		}
	}
	return Choice{Server: candidates[best].Server, Index: best, Reason: "least in flight"}, nil
}

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
