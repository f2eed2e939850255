// Package admit applies admission control at an entry: it enforces the limits of
// each team, queues requests while every suitable server is at its limit, and
// rejects requests that cannot meet their deadline.
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
	queueLimit          = 1024                  // maximum number of queued requests at this entry
	flowLimit           = 256                   // maximum number of queued requests of one team and model
	queueCheckInterval  = 20 * time.Millisecond // interval between passes over the queue
	teamIdleTimeout     = 10 * time.Minute      // the state of a team without requests is dropped after this
	teamCleanupInterval = time.Minute
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

// Pool provides the view of the backend servers. See pool.Pool.Candidates.
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

// Admitter admits, queues or rejects requests. Queued requests are only processed
// while Run is running.
type Admitter struct {
	opts Options

	mu    sync.Mutex
	teams map[string]*team
	queue *admission.FairQueue[*waiter]
}

// team is the admission state of one team.
type team struct {
	inFlight    int // queued or in progress
	bucket      admission.Bucket
	lastRequest time.Time
}

// waiter is a queued request.
type waiter struct {
	req       dispatch.Request
	verdictCh chan admission.Verdict // buffered; receives one verdict, Admit or Reject
}

// New returns an admitter with an empty queue.
func New(opts Options) *Admitter {
	return &Admitter{opts: opts, teams: map[string]*team{}, queue: admission.NewFairQueue[*waiter]()}
}

// Admit blocks until the request is admitted or rejected. If it is admitted, the
// caller must call release when the request has ended. If it is rejected, f says
// why and when to retry.
func (a *Admitter) Admit(ctx context.Context, req dispatch.Request) (release func(), f *wire.Failure) {
	verdict, t := a.decide(req, time.Now())
	if verdict.Action == admission.Queue {
		verdict = a.awaitVerdict(ctx, t)
	}
	if verdict.Action == admission.Reject {
		if t != nil {
			a.endRequest(req.Team)
		}
		return nil, a.rejection(req, verdict)
	}
	admitted.Add(1)
	return sync.OnceFunc(func() { a.endRequest(req.Team) }), nil
}

// decide returns the verdict on a new request and queues the request if the
// verdict is Queue. The waiter is nil only if the request is rejected.
func (a *Admitter) decide(req dispatch.Request, now time.Time) (admission.Verdict, *waiter) {
	limits := a.limits(req.Team)
	capacity := a.capacity(req, now)
	flow := flowOf(req)
	a.mu.Lock()
	defer a.mu.Unlock()
	tm := a.team(req.Team, now)
	s := admission.State{
		Queued:       a.queue.Len(),
		QueueLimit:   queueLimit,
		FlowQueued:   a.queue.FlowLen(flow),
		FlowLimit:    flowLimit,
		TeamInFlight: tm.inFlight,
		TeamLimit:    limits.Concurrency,
		TeamRate:     limits.RatePerSecond,
		Full:         capacity.free == 0,
		Wait:         capacity.wait,
	}
	if limits.RatePerSecond > 0 {
		s.TeamWait = tm.bucket.Take(limits.RatePerSecond, now)
	}
	verdict := admission.Decide(s, admission.Request{Priority: req.Priority, Deadline: req.Deadline.Sub(now)}, now)
	if verdict.Action == admission.Reject {
		return verdict, nil
	}
	tm.inFlight++
	t := &waiter{req: req, verdictCh: make(chan admission.Verdict, 1)}
	if verdict.Action == admission.Queue {
		queued.Add(1)
		a.queue.Push(flow, req.Priority, t)
	}
	return verdict, t
}

// awaitVerdict waits for the verdict on a queued request. If ctx ends first, it
// removes the request from the queue and returns a rejection.
func (a *Admitter) awaitVerdict(ctx context.Context, t *waiter) admission.Verdict {
	select {
	case v := <-t.verdictCh:
		return v
	case <-ctx.Done():
	}
	a.mu.Lock()
	a.queue.Remove(func(other *waiter) bool { return other == t })
	a.mu.Unlock()
	return admission.Verdict{Action: admission.Reject, Reason: "the caller disconnected"}
}

// Run processes the queue and drops the state of idle teams until ctx ends.
func (a *Admitter) Run(ctx context.Context) {
	queueTicker := time.NewTicker(queueCheckInterval)
	defer queueTicker.Stop()
	cleanupTicker := time.NewTicker(teamCleanupInterval)
	defer cleanupTicker.Stop()
	for {
		select {
		case now := <-queueTicker.C:
			a.processQueue(now)
		case now := <-cleanupTicker.C:
			a.dropIdleTeams(now)
		case <-ctx.Done():
			return
		}
	}
}

// processQueue rejects queued requests that can no longer meet their deadline and
// admits as many of the others as there is free capacity for.
func (a *Admitter) processQueue(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queue.Len() == 0 {
		return
	}
	pass := a.newQueuePass(now)
	a.queue.Remove(func(t *waiter) bool {
		if now.Add(pass.wait(t.req)).Before(t.req.Deadline) {
			return false
		}
		t.verdictCh <- admission.Verdict{Action: admission.Reject, Reason: "deadline cannot be met", RetryAfter: minRetryAfter}
		return true
	})
	for {
		t, ok := a.queue.Pop(pass.admit)
		if !ok {
			return
		}
		t.verdictCh <- admission.Verdict{Action: admission.Admit, Reason: "free capacity"}
	}
}

// endRequest removes a request from the count of its team.
func (a *Admitter) endRequest(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t, ok := a.teams[name]; ok {
		t.inFlight--
	}
}

// team returns the state of a team that has sent a request, and creates it if
// necessary. a.mu must be held.
func (a *Admitter) team(name string, now time.Time) *team {
	t, ok := a.teams[name]
	if !ok {
		t = &team{}
		a.teams[name] = t
	}
	t.lastRequest = now
	return t
}

func (a *Admitter) dropIdleTeams(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, t := range a.teams {
		if t.inFlight == 0 && now.Sub(t.lastRequest) > teamIdleTimeout {
			delete(a.teams, name)
		}
	}
}

// limits returns the configured limits of a team, or none if the team is unknown.
func (a *Admitter) limits(name string) config.Team {
	if index := a.opts.Holder.Current(); index != nil {
		if t, ok := index.Team(name); ok {
			return t
		}
	}
	return config.Team{Name: name}
}

// Dump is the state dump of an Admitter.
type Dump struct {
	Waiting int            `json:"waiting"`
	Teams   map[string]int `json:"in_flight_by_team"`
}

// DumpState returns the admitter's section of the state dump.
func (a *Admitter) DumpState() any {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{Waiting: a.queue.Len(), Teams: map[string]int{}}
	for name, t := range a.teams {
		d.Teams[name] = t.inFlight
	}
	return d
}
