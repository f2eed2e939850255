// Package balance chooses the backend server of each request at an entry that
// calls them directly, and keeps what the choice needs: the requests in
// progress at each server and how the server has done.
package balance

import (
	"errors"
	"slices"
	"sync"
	"time"

	"peridotchute.example/fleet"
)

// Errors of Choose.
var (
	// ErrNoServer means that no server of the service can be used.
	ErrNoServer = errors.New("no backend server of the service can be used")
	// ErrNotResident means that no server holds the model or adapter.
	ErrNotResident = errors.New("no backend server holds the model or adapter")
)

// Query asks for a server.
type Query struct {
	Service string
	Request *fleet.Request
	Route   *fleet.Route
	Exclude []string // IDs of servers that failed the request
}

// Options configure a Balancer.
type Options struct {
	Zone    string
	Regions map[string]string // region of each availability zone
	Budget  Budget
}

// Balancer chooses servers.
type Balancer struct {
	opts Options

	mu      sync.Mutex
	servers map[string]*state // by ID
	spent   map[string]*spending
}

// state is what this entry knows of one server beside its registration.
type state struct {
	inFlight  int
	prefill   int       // tokens of requests without a first event
	failures  int       // in a row
	avoidTill time.Time // not chosen until then when others are left
	heard     time.Time // when anything was last received from it
	waiting   time.Time // since when it owes an answer; zero when it owes none
	lacks     map[string]time.Time
}

// New returns a balancer.
func New(opts Options) *Balancer {
	return &Balancer{opts: opts, servers: map[string]*state{}, spent: map[string]*spending{}}
}

// Choose takes a server for the request.
func (b *Balancer) Choose(v *fleet.View, q Query) (*Ticket, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best *fleet.Server
	var bestCost float64
	usable := false
	for i := range v.Servers {
		s := &v.Servers[i]
		if s.Service != q.Service || s.Draining || slices.Contains(q.Exclude, s.ID) {
			continue
		}
		usable = true
		if q.Request.Model != "" && !s.Holds(q.Request.Model, q.Request.Adapter) {
			continue
		}
		cost := b.cost(s, q, now)
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	switch {
	case best != nil:
		return b.begin(best, q, now), nil
	case usable && q.Request.Model != "":
		return nil, ErrNotResident
	}
	return nil, ErrNoServer
}

// Take takes the named server.
func (b *Balancer) Take(v *fleet.View, q Query, id string) (*Ticket, error) {
	s := v.Server(id)
	if s == nil {
		return nil, ErrNoServer
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.begin(s, q, time.Now()), nil
}

func (b *Balancer) state(id string) *state {
	s, ok := b.servers[id]
	if !ok {
		s = &state{}
		b.servers[id] = s
	}
	return s
}

const (
	prefillRate  = 38.0 // tokens read in a ms by an engine
	stepCost     = 3.0  // ms that each request in progress adds
	regionCost   = 24.0 // ms of a round trip to another region
	zoneCost     = 2.0  // ms of a round trip to another availability zone
	avoidCost    = 2e3  // ms: a server that just failed is the last choice
	plainRunCost = 15.0 // ms that a request in progress at a plain service takes
)

// cost is the expected time until the answer begins, in ms.
func (b *Balancer) cost(s *fleet.Server, q Query, now time.Time) float64 {
	st := b.state(s.ID)
	cost := float64(st.prefill) / prefillRate
	if q.Request.Model != "" {
		cost += float64(st.inFlight) * stepCost
	} else {
		cost += float64(st.inFlight) * plainRunCost
	}
	switch {
	case b.opts.Regions[s.Zone] != b.opts.Regions[b.opts.Zone]:
		cost += regionCost
	case s.Zone != b.opts.Zone:
		cost += zoneCost
	}
	if now.Before(st.avoidTill) {
		cost += avoidCost
	}
	return cost
}

func (b *Balancer) begin(s *fleet.Server, q Query, now time.Time) *Ticket {
	st := b.state(s.ID)
	if st.inFlight == 0 {
		st.waiting = now
	}
	st.inFlight++
	st.prefill += q.Request.TokensIn
	return &Ticket{Server: s, b: b, st: st, prefill: q.Request.TokensIn}
}
