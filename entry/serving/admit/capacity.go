package admit

import (
	"math"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/routing"
)

// capacity is the free capacity of a pool's serving servers for a request.
type capacity struct {
	free int           // number of requests that fit below the servers' limits
	wait time.Duration // shortest expected time to the first token
}

// unlimited is the free capacity of a server without a limit. It is also that of
// a pool without serving servers, so that its requests are not queued and the
// dispatcher rejects them at once.
const unlimited = math.MaxInt32

// capacity returns the free capacity for the request in its pool.
func (a *Admitter) capacity(req dispatch.Request, now time.Time) capacity {
	candidates := a.opts.Pool.Candidates(req.Pool, req.Resolved, nil)
	want := routing.Request{Region: a.opts.Region, Zone: a.opts.Zone, PromptBytes: len(req.Prompt), Costs: &a.opts.Costs}
	if req.Resolved != nil {
		want.Bytes = req.Resolved.Bytes
		want.Adapter = req.Resolved.Artifact != req.Resolved.Base
	}
	var out capacity
	serving := 0
	for i := range candidates {
		c := &candidates[i]
		if !c.Server.Serving {
			continue
		}
		// Load time is not counted: models are loaded on demand, so one whose
		// requests are all rejected for its load time might never be loaded.
		c.Resident = true
		w := routing.Wait(c, &want, &a.opts.Costs, now)
		if serving == 0 || w < out.wait {
			out.wait = w
		}
		serving++
		out.free += freeSlots(c.Server)
	}
	if serving == 0 {
		out.free = unlimited
	}
	return out
}

// freeSlots returns the number of further requests that the server's limit allows.
func freeSlots(s *routing.Server) int {
	if s.Limit == 0 {
		return unlimited
	}
	return max(s.Limit-s.InFlight, 0)
}

// queuePass is one pass over the queue. It computes the free capacity of each pool
// once and deducts the requests that it admits.
type queuePass struct {
	a     *Admitter
	now   time.Time
	waits map[waitKey]time.Duration
	free  map[string]int // free capacity by pool
}

// waitKey identifies requests with the same expected wait.
type waitKey struct {
	pool, model string
}

func (a *Admitter) newQueuePass(now time.Time) *queuePass {
	return &queuePass{a: a, now: now, waits: map[waitKey]time.Duration{}, free: map[string]int{}}
}

// wait returns the expected time to the first token of the request.
func (p *queuePass) wait(req dispatch.Request) time.Duration {
	key := waitKey{pool: req.Pool, model: flowOf(req).Model}
	if wait, ok := p.waits[key]; ok {
		return wait
	}
	capacity := p.a.capacity(req, p.now)
	p.waits[key] = capacity.wait
	if _, ok := p.free[req.Pool]; !ok {
		p.free[req.Pool] = capacity.free
	}
	return capacity.wait
}

// admit reports whether there is free capacity for the request, and deducts the
// request from it.
func (p *queuePass) admit(t *waiter) bool {
	p.wait(t.req)
	if p.free[t.req.Pool] <= 0 {
		return false
	}
	p.free[t.req.Pool]--
	return true
}

// flowOf returns the flow of a request. The queue is fair between flows.
func flowOf(req dispatch.Request) admission.Flow {
	f := admission.Flow{Team: req.Team, Model: req.Pool}
	if req.Resolved != nil {
		f.Model = req.Resolved.Artifact.Name
	}
	return f
}
