package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// PlainServer is what an entry knows about a plain backend server, which serves
// no models. In its Batch all requests in progress count as waiting, and their
// work and tokens are 0.
type PlainServer struct {
	Name      string
	Usable    bool          // ready and not draining
	RoundTrip time.Duration // network round trip
	Slots     int           // requests that it can process at once; 0 means no limit
	Batch     Batch
	Health    Health
	hash      uint64
}

// NewPlainServer returns a usable server without requests.
func NewPlainServer(name string, slots int) *PlainServer {
	return &PlainServer{Name: name, Usable: true, Slots: slots, hash: xxhash.Sum64String(name)}
}

// PlainRequest describes a request to a plain service.
type PlainRequest struct {
	ServiceTime time.Duration // usual time of the service for a request
	Exclude     string        // name of a server that just failed this request
	Draw        uint64        // random number; spreads requests over servers of equal cost

	Priority int  // 0 is the most urgent
	Planned  bool // work reserved for requests of this or a more urgent priority counts as backlog
}

// PlainChoice is the choice of a plain server, with its reason.
type PlainChoice struct {
	Server   *PlainServer
	Index    int           // in the servers
	Wait     time.Duration // expected time to the answer
	Backlog  time.Duration // part of Wait: until a slot is free
	Load     int           // estimated requests of all entries at the server
	Reason   string
	RunnerUp *PlainServer // nil if there was no other candidate
}

// equalWaitTolerance is the difference up to which two costs count as equal.
const equalWaitTolerance = time.Millisecond

// ChoosePlain chooses the server with the least cost: the expected wait, with
// additions for load and recent failures. A suspect server gets only one request
// at a time, as a probe, unless all are suspect. It returns ErrNoServer if no
// server is usable and does not allocate.
//
//	choice, err := routing.ChoosePlain(servers, routing.PlainRequest{ServiceTime: serviceTime.Value(), Draw: rnd.Uint64()}, now)
//	choice.Server.Batch.Sent(routing.SentRequest{}, now)
//	// after the answer:
//	choice.Server.Batch.Ended(routing.SentRequest{}, false, now)
//	serviceTime.Observe(&choice, took, now) // or choice.Server.Health.Failed(now)
func ChoosePlain(servers []*PlainServer, req PlainRequest, now time.Time) (PlainChoice, error) {
	best, second := -1, -1
	var bestCost, secondCost time.Duration
	for i, s := range servers {
		if !s.Usable || (req.Exclude != "" && s.Name == req.Exclude) {
			continue
		}
		cost := s.cost(&req, now)
		switch {
		case best < 0 || s.beats(cost, servers[best], bestCost, req.Draw):
			second, secondCost = best, bestCost
			best, bestCost = i, cost
		case second < 0 || cost < secondCost:
			second, secondCost = i, cost
		}
	}
	if best < 0 {
		return PlainChoice{}, ErrNoServer
	}
	s := servers[best]
	load := s.Batch.Load(now)
	out := PlainChoice{
		Server:  s,
		Index:   best,
		Wait:    s.Wait(&req, now),
		Backlog: s.backlog(&load, &req, now),
		Load:    s.Batch.InProgress(req.ServiceTime, now),
		Reason:  "least expected wait",
	}
	if s.Health.Suspect(now) {
		out.Reason = "probe of a suspect server"
	}
	if second >= 0 {
		out.RunnerUp = servers[second]
	}
	return out, nil
}

// beats reports whether a server is better than another. Among equals the order
// depends on the request's random number.
func (s *PlainServer) beats(cost time.Duration, other *PlainServer, otherCost time.Duration, draw uint64) bool {
	if difference := cost - otherCost; difference < -equalWaitTolerance || difference > equalWaitTolerance {
		return difference < 0
	}
	return scramble(draw^s.hash) > scramble(draw^other.hash)
}

// Wait returns the expected time to the answer.
func (s *PlainServer) Wait(req *PlainRequest, now time.Time) time.Duration {
	load := s.Batch.Load(now)
	work := time.Duration(float64(req.ServiceTime) * s.Health.Slowness(now))
	return work + s.backlog(&load, req, now) + s.RoundTrip
}

// backlog returns the expected time until a slot is free.
func (s *PlainServer) backlog(load *Load, req *PlainRequest, now time.Time) time.Duration {
	if s.Slots <= 0 {
		return 0
	}
	perRequest := req.ServiceTime / time.Duration(s.Slots)
	free := time.Duration(s.Slots-s.Batch.InProgress(req.ServiceTime, now)) * perRequest
	var ahead time.Duration
	if req.Planned {
		ahead = load.reservedAhead(req.Priority)
	}
	return time.Duration(float64(max(perRequest-free+ahead, 0)) * s.Health.Slowness(now))
}

// Work returns the server time that a request takes when all slots are in use.
func (s *PlainServer) Work(serviceTime time.Duration) time.Duration {
	return serviceTime / time.Duration(max(s.Slots, 1))
}

// cost returns the expected wait plus additions for load, recent failures and
// suspicion.
func (s *PlainServer) cost(req *PlainRequest, now time.Time) time.Duration {
	cost := s.Wait(req, now) + s.Health.Penalty(now)
	if s.Slots > 0 {
		cost += req.ServiceTime * time.Duration(min(s.Batch.InProgress(req.ServiceTime, now), s.Slots)) / time.Duration(s.Slots)
	}
	if s.Batch.own.Waiting > 0 && s.Health.Suspect(now) {
		cost += probeCost
	}
	return cost
}

const (
	initialServiceTime = 20 * time.Millisecond
	serviceTimeStep    = 0.05 // smoothing factor of the usual time
)

// ServiceTime is the learned time that a service takes for a request that finds
// a free slot, over all its servers. The zero value has initialServiceTime. It
// is not safe for concurrent use.
type ServiceTime struct{ value time.Duration }

// Value returns the usual time.
func (t *ServiceTime) Value() time.Duration {
	if t.value == 0 {
		return initialServiceTime
	}
	return t.value
}

// Observe records a successful answer to a request that was sent as chosen. It
// updates the server's health and the usual time. Requests that had to wait for
// a slot don't count, since their time doesn't reflect the server's speed.
func (t *ServiceTime) Observe(c *PlainChoice, took time.Duration, now time.Time) {
	h := &c.Server.Health
	h.succeeded(now)
	if c.Backlog > 0 || c.Wait <= 0 || took <= 0 {
		return
	}
	h.answered(c.Wait, took, now)
	if !h.Suspect(now) {
		ratio := min(max(float64(took)/float64(c.Wait), 1/maxDeviation), maxDeviation)
		t.value = time.Duration(float64(t.Value()) * (1 + (ratio-1)*serviceTimeStep))
	}
}
