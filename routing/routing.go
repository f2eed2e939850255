// Package routing chooses the backend server for one request. It does no I/O and
// reads no clock: callers pass the servers, the time and a random source.
package routing

import (
	"errors"
	"math/rand/v2"
	"time"
)

// ErrNoServer means that none of the given servers can take the request.
var ErrNoServer = errors.New("no backend server can take the request")

// Server is what the entry knows about one backend server.
type Server struct {
	Name        string
	Serving     bool      // live, not suspect and not draining
	RetryAt     time.Time // end of its ejection
	Region      string
	Zone        string
	InFlight    int           // this entry's requests in progress there
	Reported    int           // requests of all entries in progress, according to its last report
	OwnReported int           // value of InFlight when that report arrived
	ReportedAt  time.Time     // when that report arrived
	QueueDelay  time.Duration // according to its last report
	FreeBytes   int64         // free accelerator memory, according to its last report
	FirstSeen   time.Time     // when its slow start began
	Failures    int           // consecutive failures seen by this entry
	Limit       int           // value of InFlight at which it counts as full; 0 means none
}

// Candidate is a server of the request's pool, with what it has in memory of the
// request's artifact and prompt.
type Candidate struct {
	Server   *Server
	Resident bool    // the artifact is in accelerator memory
	Base     bool    // the base model of the artifact is in accelerator memory
	Cached   float64 // share of the prompt in the prefix cache, 0 to 1
}

// Request describes a request for the choice of a server.
type Request struct {
	Region      string
	Zone        string
	PromptBytes int
	Bytes       int64         // size of the artifact in accelerator memory
	Adapter     bool          // the artifact is an adapter
	Affinity    uint64        // hash of the prompt's first block; 0 means none
	Deadline    time.Duration // time left until the deadline
	Exclude     string        // name of a server that just failed this request
	Costs       *Costs        // nil means DefaultCosts
}

// Costs are the components of the expected wait at a server.
type Costs struct {
	PerRequest     time.Duration // for each request in progress
	PrefillPerByte time.Duration // for each byte of the prompt that is not cached
	ModelLoad      time.Duration // loading a model on demand
	AdapterLoad    time.Duration // loading an adapter on demand
	Eviction       time.Duration // evicting another artifact first; it will have to be loaded again
	Move           time.Duration // cost of the move itself, added to every load on demand
	OtherZone      time.Duration // round trip to another zone of the region
	OtherRegion    time.Duration // round trip to another region, plus the price of the traffic
	SlowStart      time.Duration // time during which a new server gets fewer requests
}

// DefaultCosts are suitable for a mid-sized model.
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

// DirectCosts are the distances to servers that the entry calls directly. All
// other times of these servers are learned.
var DirectCosts = Costs{
	OtherZone:   2 * time.Millisecond,
	OtherRegion: 24 * time.Millisecond,
}

// Choice is the choice of a server, with its reason.
type Choice struct {
	Server   *Server
	Index    int // in the candidates
	Reason   string
	Wait     time.Duration // expected time to the first token
	RunnerUp *Server       // nil if there was no other candidate
}

// Choose returns the server with the least expected wait among these: the one
// with the largest cached share of the prompt, the home of the prompt (the
// resident server with the highest rendezvous weight), and two random servers
// each with the artifact resident, with only its base model resident and with
// neither. It returns ErrNoServer if no candidate is usable, and does not
// allocate.
func Choose(candidates []Candidate, req Request, now time.Time, rnd *rand.Rand) (Choice, error) {
	costs := req.Costs
	if costs == nil {
		costs = &DefaultCosts
	}
	d := sampler{req: &req, now: now, state: rnd.Uint64()}
	d.considerAll(candidates)
	if d.tooFewAvailable() {
		d = sampler{req: &req, now: now, state: rnd.Uint64(), useEjected: true}
		d.considerAll(candidates)
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

// Wait returns the expected time to the request's first token at a server.
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

// Distance returns the round trip between two zones, plus the price of the
// traffic if they are in different regions.
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
		return "least expected wait with the artifact resident"
	case c.Base:
		return "adapter to be loaded, base model resident"
	}
	return "artifact to be loaded on demand"
}
