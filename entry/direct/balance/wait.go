package balance

import (
	"context"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/loadplan"
	"peridotchute.example/routing"
)

// Query describes a request for which Admit chooses a server.
type Query struct {
	Service  string
	Request  *fleet.Request
	Route    *fleet.Route
	Priority int // 0 is the most urgent
	Arrived  time.Time
	Deadline time.Time
	Exclude  []string // IDs of servers that failed or declined the request; offered if there is no other
	Gone     []string // IDs of servers that refused the connection; not offered
	Resumed  bool     // a stream that goes on after some of its events
	Software string   // if set, only servers of this software version may get the request
	// Preferred is the software version, if not empty, at whose servers the first event of the
	// stream is not held back. At others it is held back for the time Hold.
	Preferred string
	Hold      time.Duration

	// Successor seeks a server to replace that of an attempt in progress: no excluded
	// server is offered, no model is loaded and no demand is counted.
	Successor bool
}

// Rejection describes why a request is not sent to any server.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
	Expected   time.Duration // expected wait that caused the rejection; 0 if unknown
	Waiting    int           // requests of the service queued in this entry
	Replicas   int           // usable servers that have loaded the model or adapter
	NotLoaded  bool          // no usable server has loaded the model or adapter
	Canceled   bool          // the context was done first
}

// waiting is a request in the queue.
type waiting struct {
	artifact artifact
	prompt   routing.Prompt
	exclude  []string
	gone     []string
	strict   bool   // no excluded server is offered, and no model is loaded
	software string // if set, only servers of this software version are offered
	// preferred is the version, if not empty, at whose servers no first event is held back.
	preferred string
	hold      time.Duration // elsewhere
	// resumable is set for a stream that may go on in a later request: no server is offered
	// whose version is new, unless software names it.
	resumable bool
	priority  int
	draw      uint64 // random number for the choice of a plain server
	decided   chan decision

	lastResort bool // only leaving servers are offered, to a request that has no other

	newTokens int // expected tokens of the answer; 0 for a stream that goes on

	server *server // of the latest offer; nil while the model is not loaded
	cached int     // tokens of the prompt in the server's prefix cache
	plain  routing.PlainChoice
}

// decision is the result of a wait. Exactly one field is set.
type decision struct {
	ticket    *Ticket
	rejection *Rejection
}

// noServerRetryAfter is the Retry-After of requests for an unknown service.
const noServerRetryAfter = 500 * time.Millisecond

// Admit blocks until the request may be sent or is rejected, and returns either
// a ticket for the chosen server or a rejection. The caller must call the
// ticket's End. When ctx is done first, the rejection has Canceled set.
func (b *Balancer) Admit(ctx context.Context, q Query) (*Ticket, *Rejection) {
	b.mu.Lock()
	p := b.pools[q.Service]
	if p == nil {
		b.mu.Unlock()
		return nil, &Rejection{Reason: "the service has no known server", RetryAfter: noServerRetryAfter}
	}
	now := time.Now()
	w := b.newWaiting(p, q, now)
	if !q.Successor {
		p.countDemand(w, q)
	}
	out := p.queue.Enqueue(w, p.waiter(w, q), now, b.offers(p, now))
	if out.Action == admission.Reject {
		r := b.rejection(p, w, out.Verdict, now)
		b.mu.Unlock()
		return nil, r
	}
	p.addWaiting(w)
	b.dispatch(p)
	b.signal()
	b.mu.Unlock()
	return b.await(ctx, p, w)
}

func (b *Balancer) newWaiting(p *pool, q Query, now time.Time) *waiting {
	r := q.Request
	w := &waiting{
		artifact: artifact{r.Model, r.Adapter},
		exclude:  q.Exclude,
		gone:     q.Gone,
		strict:   q.Successor,
		software: q.Software,

		preferred: q.Preferred,
		hold:      q.Hold,
		resumable: q.Route.RetryPolicy == fleet.RetryResume,
		priority:  q.Priority,
		draw:      b.rnd.Uint64(),
		decided:   make(chan decision, 1),
	}
	if p.engine != nil && r.Model != "" {
		parts := make([]routing.Part, len(r.Parts))
		for i, part := range r.Parts {
			parts[i] = routing.Part{ID: part.ID, Tokens: part.Tokens}
		}
		w.prompt = routing.NewPrompt(r.Model+"/"+r.Adapter, parts, r.TokensIn, r.TokensOut, p.models.prefillTime(r.Model).PerToken())
		w.prompt.Priority = w.priority
		if !q.Resumed {
			w.newTokens = expectedOutputTokens(r)
		}
	}
	return w
}

// timePerToken is the time to generate one token in a batch that is half full.
const timePerToken = 6 * time.Millisecond

// outputTokenWeight is the cost of an output token relative to a prompt token,
// by the time each takes.
const outputTokenWeight = 10

// waiter returns the properties of the request that the queue needs.
func (p *pool) waiter(w *waiting, q Query) admission.Waiter {
	r := q.Request
	objective := q.Route.Objective
	if objective <= 0 {
		objective = q.Deadline.Sub(q.Arrived)
	}
	out := admission.Waiter{
		Kind:      q.Route.Name,
		Flow:      routing.ArtifactKey(r.Model + "/" + r.Adapter),
		Priority:  q.Priority,
		Arrived:   q.Arrived,
		Objective: q.Arrived.Add(objective),
		Deadline:  q.Deadline,
		Tokens:    expectedOutputTokens(r),
		Size:      float64(r.TokensIn + outputTokenWeight*r.TokensOut),
		Resumed:   q.Resumed,
	}
	if q.Resumed {
		out.Objective = time.Now().Add(q.Route.GapObjective)
	}
	if n := len(r.Parts); n > 0 {
		out.Session = r.Parts[n-1].ID
	}
	if n := len(r.Parts); n > 1 {
		out.Flow ^= r.Parts[n-2].ID
	}
	if w.software != "" {
		out.Flow ^= routing.ArtifactKey("software " + w.software)
	}
	if w.resumable && p.anyUnsettled() {
		out.Flow ^= routing.ArtifactKey("resumable")
	}
	if w.strict {
		out.Flow ^= routing.ArtifactKey("successor")
	}
	for _, id := range w.exclude {
		out.Flow ^= routing.ArtifactKey(id)
	}
	for _, id := range w.gone {
		out.Flow ^= routing.ArtifactKey("gone " + id)
	}
	return out
}

// expectedOutputTokens returns the expected length of an answer in tokens: the
// client's estimate, or else half of the maximum it allows.
func expectedOutputTokens(r *fleet.Request) int {
	if r.LengthHint > 0 {
		return min(r.LengthHint, max(r.TokensOut, 1))
	}
	return r.TokensOut / 2
}

func (p *pool) addWaiting(w *waiting) {
	p.waiting[w] = struct{}{}
	p.queued[w.artifact]++
}

func (p *pool) removeWaiting(w *waiting) {
	if _, ok := p.waiting[w]; !ok {
		return
	}
	delete(p.waiting, w)
	if p.queued[w.artifact]--; p.queued[w.artifact] == 0 {
		delete(p.queued, w.artifact)
	}
}

// await blocks until the queued request is dispatched, rejected or canceled. A request that was
// canceled is not dispatched, even if a server is free at once.
func (b *Balancer) await(ctx context.Context, p *pool, w *waiting) (*Ticket, *Rejection) {
	select {
	case t := <-w.decided:
		if ctx.Err() == nil || t.ticket == nil {
			return t.ticket, t.rejection
		}
		t.ticket.End()
		return nil, canceled()
	case <-ctx.Done():
	}
	b.mu.Lock()
	p.queue.Remove(func(other *waiting) bool { return other == w })
	p.removeWaiting(w)
	b.mu.Unlock()
	select {
	case t := <-w.decided:
		if t.ticket != nil {
			t.ticket.End()
		}
	default:
	}
	return nil, canceled()
}

func canceled() *Rejection { return &Rejection{Reason: "the wait ended first", Canceled: true} }

// dispatch admits or rejects the queued requests of the pool that can be decided
// now. The caller holds b.mu.
func (b *Balancer) dispatch(p *pool) {
	now := time.Now()
	offers := b.offers(p, now)
	for {
		out, ok := p.queue.Next(now, offers)
		if !ok {
			break
		}
		w := out.Item
		p.removeWaiting(w)
		if out.Action == admission.Reject {
			w.decided <- decision{rejection: b.rejection(p, w, out.Verdict, now)}
			continue
		}
		w.decided <- decision{ticket: b.begin(p, w, &out.Offer, now)}
	}
	p.expireLoading(now)
}

func (b *Balancer) rejection(p *pool, w *waiting, v admission.Verdict, now time.Time) *Rejection {
	r := &Rejection{Reason: v.Reason, RetryAfter: v.RetryAfter, Expected: v.Wait, Waiting: p.queue.Len()}
	if w.artifact.model != "" {
		r.Replicas = b.replicas(p, w, now, false)
		r.NotLoaded = r.Replicas == 0
	}
	if d := p.demand[w.artifact.model]; r.NotLoaded && !w.strict && d != nil {
		d.Refused++
		w.countBound(d)
	}
	return r
}

// countDemand adds the request to the demand for its model.
func (p *pool) countDemand(w *waiting, q Query) {
	if p.engine == nil || w.artifact.model == "" {
		return
	}
	d := p.demand[w.artifact.model]
	if d == nil {
		d = &loadplan.ModelDemand{Service: p.name, Model: w.artifact.model, Urgency: w.priority}
		p.demand[w.artifact.model] = d
	}
	d.Arrivals++
	d.PrefillTokens += q.Request.TokensIn
	d.Urgency = min(d.Urgency, w.priority)
	w.countBound(d)
}
