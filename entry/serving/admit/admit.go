// Package admit applies admission control at an entry: it keeps each team to
// its limits, lets requests wait for a turn while every server that could take
// them is busy, and rejects at once what cannot be served in time.
package admit

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/admission"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/routing"
)

const (
	queueLimit  = 1024                  // requests waiting at this entry
	flowLimit   = 256                   // of them, of one team and model
	turnEvery   = 20 * time.Millisecond // longest time between two looks at the queue
	idleTeam    = 10 * time.Minute      // after which a team without requests is forgotten
	forgetEvery = time.Minute
)

var (
	counters = expvar.NewMap("admission")
	admitted = new(expvar.Int)
	queued   = new(expvar.Int)
	rejected = new(expvar.Int)
)

func init() {
	counters.Set("admitted", admitted)
	counters.Set("queued", queued)
	counters.Set("rejected", rejected)
}

// Pool gives the view of the backend servers.
type Pool interface {
	Candidates(pool string, served *config.Served, prefixes []uint64) []routing.Candidate
}

// Options configure an Admitter.
type Options struct {
	Pool   Pool
	Holder *config.Holder
	Region string // of this entry
	Zone   string
	Costs  routing.Costs
	Log    logrus.FieldLogger
}

// Admitter decides whether requests are let in. Run must be running.
type Admitter struct {
	opts Options

	mu      sync.Mutex
	teams   map[string]*team
	waiting *admission.FairQueue[*ticket]
}

// team is the admission state of one team.
type team struct {
	inFlight int // waiting or in progress
	bucket   admission.Bucket
	last     time.Time // of its latest request
}

// ticket is a request that waits for its turn.
type ticket struct {
	req  dispatch.Request
	turn chan admission.Verdict // receives one verdict: admit or reject
}

// New returns an admitter with an empty queue.
func New(opts Options) *Admitter {
	return &Admitter{opts: opts, teams: map[string]*team{}, waiting: admission.NewFairQueue[*ticket]()}
}

// Admit returns when the request may be sent on; release must be called when
// it has ended. The failure says that it was not let in, and when to try again.
func (a *Admitter) Admit(ctx context.Context, req dispatch.Request) (release func(), f *wire.Failure) {
	verdict, t := a.arrive(req, time.Now())
	if verdict.Action == admission.Queue {
		verdict = a.wait(ctx, t)
	}
	if verdict.Action == admission.Reject {
		if t != nil {
			a.leave(req.Team)
		}
		return nil, a.rejection(req, verdict)
	}
	admitted.Add(1)
	return sync.OnceFunc(func() { a.leave(req.Team) }), nil
}

// arrive decides on a new request. The ticket is nil only for a rejected one.
func (a *Admitter) arrive(req dispatch.Request, now time.Time) (admission.Verdict, *ticket) {
	limits := a.limits(req.Team)
	room := a.room(req, now)
	flow := flowOf(req)
	a.mu.Lock()
	defer a.mu.Unlock()
	tm := a.team(req.Team, now)
	s := admission.State{
		Queued:       a.waiting.Len(),
		QueueLimit:   queueLimit,
		FlowQueued:   a.waiting.FlowLen(flow),
		FlowLimit:    flowLimit,
		TeamInFlight: tm.inFlight,
		TeamLimit:    limits.Concurrency,
		TeamRate:     limits.RatePerSecond,
		Full:         room.free == 0,
		Wait:         room.wait,
	}
	if limits.RatePerSecond > 0 {
		s.TeamWait = tm.bucket.Take(limits.RatePerSecond, now)
	}
	verdict := admission.Decide(s, admission.Request{Priority: req.Priority, Deadline: req.Deadline.Sub(now)}, now)
	if verdict.Action == admission.Reject {
		return verdict, nil
	}
	tm.inFlight++
	t := &ticket{req: req, turn: make(chan admission.Verdict, 1)}
	if verdict.Action == admission.Queue {
		queued.Add(1)
		a.waiting.Push(flow, req.Priority, t)
	}
	return verdict, t
}

// wait returns the verdict on a waiting request, or rejects it when its caller
// leaves.
func (a *Admitter) wait(ctx context.Context, t *ticket) admission.Verdict {
	select {
	case v := <-t.turn:
		return v
	case <-ctx.Done():
	}
	a.mu.Lock()
	a.waiting.Remove(func(other *ticket) bool { return other == t })
	a.mu.Unlock()
	return admission.Verdict{Action: admission.Reject, Reason: "the caller has left"}
}

// Run gives waiting requests their turns until ctx ends.
func (a *Admitter) Run(ctx context.Context) {
	turns := time.NewTicker(turnEvery)
	defer turns.Stop()
	forget := time.NewTicker(forgetEvery)
	defer forget.Stop()
	for {
		select {
		case now := <-turns.C:
			a.giveTurns(now)
		case now := <-forget.C:
			a.forgetIdle(now)
		case <-ctx.Done():
			return
		}
	}
}

// giveTurns lets in what has room now and rejects what can no longer be served
// in time.
func (a *Admitter) giveTurns(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.waiting.Len() == 0 {
		return
	}
	look := a.newLook(now)
	a.waiting.Remove(func(t *ticket) bool {
		if now.Add(look.wait(t.req)).Before(t.req.Deadline) {
			return false
		}
		t.turn <- admission.Verdict{Action: admission.Reject, Reason: "deadline cannot be met", RetryAfter: leastRetry}
		return true
	})
	for {
		t, ok := a.waiting.Pop(look.take)
		if !ok {
			return
		}
		t.turn <- admission.Verdict{Action: admission.Admit, Reason: "its turn"}
	}
}

func (a *Admitter) leave(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, ok := a.teams[name]; ok {
		t.inFlight--
	}
}

// team returns the team's state. The mutex is held.
func (a *Admitter) team(name string, now time.Time) *team {
	t, ok := a.teams[name]
	if !ok {
		t = &team{}
		a.teams[name] = t
	}
	t.last = now
	return t
}

func (a *Admitter) forgetIdle(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, t := range a.teams {
		if t.inFlight == 0 && now.Sub(t.last) > idleTeam {
			delete(a.teams, name)
		}
	}
}

// limits returns the declared limits of a team.
func (a *Admitter) limits(name string) config.Team {
	if index := a.opts.Holder.Current(); index != nil {
		if t, ok := index.Team(name); ok {
			return t
		}
	}
	return config.Team{Name: name}
}

// Dump is the admitter's section of the state dump.
type Dump struct {
	Waiting int            `json:"waiting"`
	Teams   map[string]int `json:"in_flight_by_team"`
}

// DumpState returns the admitter's section of the state dump.
func (a *Admitter) DumpState() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{Waiting: a.waiting.Len(), Teams: map[string]int{}}
	for name, t := range a.teams {
		d.Teams[name] = t.inFlight
	}
	return d
}
