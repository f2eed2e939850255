package admit

import (
	"math"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/routing"
)

// room is what the serving servers of a pool have left for a request.
type room struct {
	free int           // requests below the servers' limits
	wait time.Duration // least expected time until the first token
}

// unlimited is the room of a server without a limit, and of a pool in which no
// server serves: the dispatcher answers its requests at once.
const unlimited = math.MaxInt32

func (a *Admitter) room(req dispatch.Request, now time.Time) room {
	candidates := a.opts.Pool.Candidates(req.Pool, req.Served, nil)
	want := routing.Request{Region: a.opts.Region, Zone: a.opts.Zone, PromptBytes: len(req.Prompt), Costs: &a.opts.Costs}
	if req.Served != nil {
		want.Bytes = req.Served.Bytes
		want.Adapter = req.Served.Artifact != req.Served.Base
	}
	var out room
	serving := 0
	for i := range candidates {
		c := &candidates[i]
		if !c.Server.Serving {
			continue
		}
		// Only requests cause loads, so the time of a load rejects none.
		c.Resident = true
		w := routing.Wait(c, &want, &a.opts.Costs, now)
		if serving == 0 || w < out.wait {
			out.wait = w
		}
		serving++
		out.free += freeOf(c.Server)
	}
	if serving == 0 {
		out.free = unlimited
	}
	return out
}

func freeOf(s *routing.Server) int {
	if s.Limit == 0 {
		return unlimited
	}
	return max(s.Limit-s.InFlight, 0)
}

// look is one look at the queue: it asks for the room of each pool once and
// counts down what it gives away.
type look struct {
	a     *Admitter
	now   time.Time
	waits map[waitKey]time.Duration
	free  map[string]int // by pool
}

type waitKey struct {
	pool, model string
}

func (a *Admitter) newLook(now time.Time) *look {
	return &look{a: a, now: now, waits: map[waitKey]time.Duration{}, free: map[string]int{}}
}

// wait returns the expected time until the request's first token.
func (l *look) wait(req dispatch.Request) time.Duration {
	key := waitKey{pool: req.Pool, model: flowOf(req).Model}
	if wait, ok := l.waits[key]; ok {
		return wait
	}
	room := l.a.room(req, l.now)
	l.waits[key] = room.wait
	if _, ok := l.free[req.Pool]; !ok {
		l.free[req.Pool] = room.free
	}
	return room.wait
}

// take reports whether the request may go now, and counts it.
func (l *look) take(t *ticket) bool {
	l.wait(t.req)
	if l.free[t.req.Pool] <= 0 {
		return false
	}
	l.free[t.req.Pool]--
	return true
}

// flowOf returns the flow that a request shares its turns in.
func flowOf(req dispatch.Request) admission.Flow {
	f := admission.Flow{Team: req.Team, Model: req.Pool}
	if req.Served != nil {
		f.Model = req.Served.Artifact.Name
	}
	return f
}
