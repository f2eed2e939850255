package routing

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A small full service, a slow or failing server among sound ones: requests go
// to the least loaded by the count of all entries, near ones first.

// PlainServer is what an entry knows of one plain backend server. Its Batch
// counts requests in progress as waiting, with no work and no tokens.
type PlainServer struct {
	Name      string
	Usable    bool // ready and not leaving
	RoundTrip time.Duration
	Slots     int // requests that it works on at once
	Batch     Batch
	Health    Health
	hash      uint64
}

// NewPlainServer returns a server of which nothing else is known.
func NewPlainServer(name string, slots int) *PlainServer {
	return &PlainServer{Name: name, Usable: true, Slots: slots, hash: xxhash.Sum64String(name)}
}

// PlainRequest is what matters of a request to a plain service.
type PlainRequest struct {
	Usual   time.Duration // time that the service usually takes; see Usual
	Exclude string        // server that just failed this request
	Draw    uint64        // random; spreads requests over servers of equal wait

	Priority int  // 0 is the most urgent
	Planned  bool // to be sent once all work reserved before it is done
}

// PlainChoice is the decision with its reason.
type PlainChoice struct {
	Server   *PlainServer
	Index    int
	Wait     time.Duration // expected until the answer
	Backlog  time.Duration // of it, until the server begins
	Load     int           // requests of all entries in progress there
	Reason   string
	RunnerUp *PlainServer // nil when there was no other
}

// indifferent is a difference of waits too small to matter.
const indifferent = time.Millisecond

// ChoosePlain takes the server with the least expected wait. A suspect server
// gets one request at a time, as a probe, unless all are suspect. It allocates
// nothing.
//
//	choice, err := routing.ChoosePlain(servers, routing.PlainRequest{Usual: usual.Time(), Draw: rnd.Uint64()}, now)
//	choice.Server.Batch.Sent(routing.Sending{}, now)
//	// once it is answered:
//	choice.Server.Batch.Ended(routing.Sending{}, false, now)
//	usual.Answered(&choice, took, now) // or choice.Server.Health.Failed(now)
func ChoosePlain(servers []*PlainServer, req PlainRequest, now time.Time) (PlainChoice, error) {
	best, second := -1, -1
	var cost, next time.Duration
	for i, s := range servers {
		if !s.Usable || (req.Exclude != "" && s.Name == req.Exclude) {
			continue
		}
		price := s.price(&req, now)
		switch {
		case best < 0 || s.beats(price, servers[best], cost, req.Draw):
			second, next = best, cost
			best, cost = i, price
		case second < 0 || price < next:
			second, next = i, price
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
		Load:    s.Batch.InProgress(req.Usual, now),
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

// beats reports whether a server is better than another; among equals the
// request's draw decides.
func (s *PlainServer) beats(price time.Duration, other *PlainServer, cost time.Duration, draw uint64) bool {
	if difference := price - cost; difference < -indifferent || difference > indifferent {
		return difference < 0
	}
	return scramble(draw^s.hash) > scramble(draw^other.hash)
}

// Wait returns the expected time until a request is answered.
func (s *PlainServer) Wait(req *PlainRequest, now time.Time) time.Duration {
	load := s.Batch.Load(now)
	work := time.Duration(float64(req.Usual) * s.Health.Slowness(now))
	return work + s.backlog(&load, req, now) + s.RoundTrip
}

// backlog returns the expected time until a slot is free.
func (s *PlainServer) backlog(load *Load, req *PlainRequest, now time.Time) time.Duration {
	if s.Slots <= 0 {
		return 0
	}
	turn := req.Usual / time.Duration(s.Slots)
	free := time.Duration(s.Slots-s.Batch.InProgress(req.Usual, now)) * turn
	var ahead time.Duration
	if req.Planned {
		ahead = load.ahead(req.Priority)
	}
	return time.Duration(float64(max(turn-free+ahead, 0)) * s.Health.Slowness(now))
}

// Work returns how much of a server's time a request takes beside others.
func (s *PlainServer) Work(usual time.Duration) time.Duration {
	return usual / time.Duration(max(s.Slots, 1))
}

func (s *PlainServer) price(req *PlainRequest, now time.Time) time.Duration {
	cost := s.Wait(req, now) + s.Health.Penalty(now)
	if s.Slots > 0 {
		cost += req.Usual * time.Duration(min(s.Batch.InProgress(req.Usual, now), s.Slots)) / time.Duration(s.Slots)
	}
	if s.Batch.own.Waiting > 0 && s.Health.Suspect(now) {
		cost += probeCost
	}
	return cost
}

const (
	startUsual = 20 * time.Millisecond
	usualStep  = 0.05 // share of a new time that is taken over
)

// Usual is the time that a service usually takes for a request that finds a
// free slot, over all its servers. The zero value has a start value. It is not
// safe for concurrent use.
type Usual struct{ value time.Duration }

// Time returns the usual time.
func (u *Usual) Time() time.Duration {
	if u.value == 0 {
		return startUsual
	}
	return u.value
}

// Answered learns from a sound answer to a request that was sent as chosen.
// What had to queue says nothing of the server's speed, nor of the service's.
func (u *Usual) Answered(c *PlainChoice, took time.Duration, now time.Time) {
	h := &c.Server.Health
	h.succeeded(now)
	if c.Backlog > 0 || c.Wait <= 0 || took <= 0 {
		return
	}
	h.answered(c.Wait, took, now)
	if !h.Suspect(now) {
		ratio := min(max(float64(took)/float64(c.Wait), 1/mostDeviation), mostDeviation)
		u.value = time.Duration(float64(u.Time()) * (1 + (ratio-1)*usualStep))
	}
}
