// Package routing chooses the backend server for one request. It is pure: a
// snapshot, a clock reading and a seeded source in, a choice out.
package routing

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrNoServer means that no server in the view can take the request.
var ErrNoServer = errors.New("no backend server can take the request")

// Server is what the entry knows of one backend server.
type Server struct {
	Name        string
	Serving     bool      // live, not suspect and not draining
	RetryAt     time.Time // ejected until then
	Region      string
	Zone        string
	InFlight    int           // own requests in progress there
	Reported    int           // requests in progress by its last report
	OwnReported int           // own requests in progress when that report arrived
	ReportedAt  time.Time     // when that report arrived
	QueueDelay  time.Duration // by its last report
	FreeBytes   int64         // accelerator memory, by its last report
	FirstSeen   time.Time     // start of slow start
	Failures    int           // consecutive failures seen by this entry
	Limit       int           // own requests in progress at which it counts as full; 0 means none
}

// Candidate is a server of the request's pool with what the request finds there.
type Candidate struct {
	Server   *Server
	Resident bool    // the artifact is in accelerator memory
	Base     bool    // its base model is
	Cached   float64 // share of the prompt found in the prefix cache, 0 to 1
}

// Request is what matters of a request for the choice.
type Request struct {
	Region      string
	Zone        string
	PromptBytes int
	Bytes       int64         // of the artifact in accelerator memory
	Adapter     bool          // the artifact is an adapter
	Affinity    uint64        // hash of the prompt's first block; 0 means none
	Deadline    time.Duration // left
	Exclude     string        // server that just failed this request
	Costs       *Costs        // nil means DefaultCosts
}

// Costs are the times from which the expected wait at a server is made up.
type Costs struct {
	PerRequest     time.Duration // added by each request in progress
	PrefillPerByte time.Duration // of the prompt, not cached
	ModelLoad      time.Duration // loading a model on demand
	AdapterLoad    time.Duration // loading an adapter on demand
	Eviction       time.Duration // making room first; what goes is needed again
	Move           time.Duration // added to every load on demand, as the price of the move itself
	OtherZone      time.Duration // round trip within the region
	OtherRegion    time.Duration // round trip, and the price of its volume
	SlowStart      time.Duration // time in which a new server takes less
}

// DefaultCosts fit a mid-sized model.
var DefaultCosts = Costs{
	PerRequest:     40 * time.Millisecond,
	PrefillPerByte: 60 * time.Microsecond,
	ModelLoad:      8 * time.Second,
	AdapterLoad:    30 * time.Millisecond,
	Eviction:       4 * time.Second,
	Move:           time.Second,
	OtherZone:      2 * time.Millisecond,
	OtherRegion:    150 * time.Millisecond,
	SlowStart:      10 * time.Second,
}

// DirectCosts hold the distances for servers that the entry calls directly; the
// rest is learned.
var DirectCosts = Costs{
	OtherZone:   2 * time.Millisecond,
	OtherRegion: 24 * time.Millisecond,
}

// Choice is the decision with its reason.
type Choice struct {
	Server   *Server
	Index    int // in the candidates
	Reason   string
	Wait     time.Duration // expected, until the first token
	RunnerUp *Server       // nil when there was no other
}

// Choose compares the server that most likely caches the prompt with two
// servers drawn at random from each class of residence, and takes the one with
// the least expected wait.
func Choose(candidates []Candidate, req Request, now time.Time, rnd *rand.Rand) (Choice, error) {
	costs := req.Costs
	if costs == nil {
		costs = &DefaultCosts
	}
	d := draw{req: &req, now: now, state: rnd.Uint64()}
	d.run(candidates)
	if d.belowFloor() {
		d = draw{req: &req, now: now, state: rnd.Uint64(), useEjected: true}
		d.run(candidates)
	}
	best, second := -1, -1
	var bestWait, secondWait time.Duration
	for _, i := range d.shortlist() {
		if i < 0 || i == best || i == second {
			continue
		}
		wait := Wait(&candidates[i], &req, costs, now)
		switch {
		case best < 0 || wait < bestWait:
			second, secondWait = best, bestWait
			best, bestWait = i, wait
		case second < 0 || wait < secondWait:
			second, secondWait = i, wait
		}
	}
	if best < 0 {
		return Choice{}, ErrNoServer
	}
	choice := Choice{Server: candidates[best].Server, Index: best, Wait: bestWait, Reason: reason(&candidates[best], d.home == best)}
	if second >= 0 {
		choice.RunnerUp = candidates[second].Server
	}
	return choice, nil
}

// Wait returns the expected time until the request's first token at a server.
func Wait(c *Candidate, req *Request, costs *Costs, now time.Time) time.Duration {
	s := c.Server
	others := max(s.Reported-s.OwnReported, 0)
	wait := s.QueueDelay + time.Duration(others+s.InFlight)*costs.PerRequest
	wait += time.Duration(float64(req.PromptBytes)*(1-c.Cached)) * costs.PrefillPerByte
	wait += loadTime(c, req, costs)
	wait += costs.Distance(req.Region, req.Zone, s.Region, s.Zone)
	if age := now.Sub(s.FirstSeen); age < costs.SlowStart {
		wait += time.Duration(s.InFlight+1) * costs.PerRequest * (costs.SlowStart - age) / costs.SlowStart
	}
	return wait
}

// Distance returns the round trip between two places, with the price of the way.
func (c *Costs) Distance(fromRegion, fromZone, toRegion, toZone string) time.Duration {
	switch {
	case fromRegion != toRegion:
		return c.OtherRegion
	case fromZone != toZone:
		return c.OtherZone
	}
	return 0
}

func loadTime(c *Candidate, req *Request, costs *Costs) time.Duration {
	if c.Resident {
		return 0
	}
	wait := costs.ModelLoad
	if req.Adapter && c.Base {
		wait = costs.AdapterLoad
	}
	wait += costs.Move
	if c.Server.FreeBytes < req.Bytes {
		wait += costs.Eviction
	}
	return wait
}

func reason(c *Candidate, home bool) string {
	switch {
	case c.Cached > 0:
		return "prompt prefix cached"
	case home:
		return "home of the prompt prefix"
	case c.Resident:
		return "least expected wait among residents"
	case c.Base:
		return "adapter loads beside its base model"
	}
	return "loads on demand"
}
