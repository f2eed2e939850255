package balance

import (
	"context"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/residence"
	"peridotchute.example/routing"
)

// Query asks for a server.
type Query struct {
	Service  string
	Request  *fleet.Request
	Route    *fleet.Route
	Arrived  time.Time
	Deadline time.Time
	Exclude  []string // IDs of servers that failed the request
	Resumed  bool     // a stream that goes on
}

// Rejection says that a request is not sent to any server.
type Rejection struct {
	Reason     string
	RetryAfter time.Duration
	Expected   time.Duration // the wait that decided it; 0 when none was known
	Waiting    int           // requests of the service that wait at this entry
	Holders    int           // servers that hold what is asked for
	NotHeld    bool          // no server holds the model or adapter
	Left       bool          // the client left first
}

// waiting is a request that waits for a server.
type waiting struct {
	artifact artifact
	prompt   routing.Prompt
	exclude  []string
	priority int
	draw     uint64
	turn     chan turn

	server *server // of the newest offer; nil while the model is missing
	cached int     // tokens of the prompt that it keeps
	plain  routing.PlainChoice
}

// turn ends a wait: one of both is set.
type turn struct {
	ticket    *Ticket
	rejection *Rejection
}

// noServerRetry is told when no server of the service is known or reached.
const noServerRetry = 500 * time.Millisecond

// Admit returns when the request may be sent, and where to. The ticket's End
// must be called.
func (b *Balancer) Admit(ctx context.Context, q Query) (*Ticket, *Rejection) {
	b.mu.Lock()
	p := b.pools[q.Service]
	if p == nil {
		b.mu.Unlock()
		return nil, &Rejection{Reason: "no server of the service is known", RetryAfter: noServerRetry}
	}
	now := time.Now()
	w := b.newWaiting(p, q, now)
	p.note(w, q)
	out := p.line.Arrive(w, p.waiter(w, q), now, b.offers(p, now))
	if out.Action == admission.Reject {
		r := p.rejection(w, out.Verdict, now)
		b.mu.Unlock()
		return nil, r
	}
	p.waiting[w] = struct{}{}
	b.giveTurns(p)
	b.poke()
	b.mu.Unlock()
	return b.await(ctx, p, w)
}

func (b *Balancer) newWaiting(p *pool, q Query, now time.Time) *waiting {
	r := q.Request
	w := &waiting{
		artifact: artifact{r.Model, r.Adapter},
		exclude:  q.Exclude,
		priority: q.Route.Priority,
		draw:     b.rnd.Uint64(),
		turn:     make(chan turn, 1),
	}
	if p.engine != nil && r.Model != "" {
		parts := make([]routing.Part, len(r.Parts))
		for i, part := range r.Parts {
			parts[i] = routing.Part{ID: part.ID, Tokens: part.Tokens}
		}
		w.prompt = routing.NewPrompt(r.Model+"/"+r.Adapter, parts, r.TokensIn, r.TokensOut, p.models.pace(r.Model).PerToken())
		w.prompt.Priority = w.priority
	}
	return w
}

// tokenTime is the time of one token of an answer in a batch that is half full.
const tokenTime = 6 * time.Millisecond

// outWeight is the weight of a token of the answer against one of the prompt,
// by the time that each takes.
const outWeight = 10

// waiter says what the line is to know of the request.
func (p *pool) waiter(w *waiting, q Query) admission.Waiter {
	r := q.Request
	objective := q.Route.Objective
	if objective <= 0 {
		objective = q.Deadline.Sub(q.Arrived)
	}
	out := admission.Waiter{
		Kind:      q.Route.Name,
		Flow:      routing.ArtifactKey(r.Model + "/" + r.Adapter),
		Priority:  q.Route.Priority,
		Arrived:   q.Arrived,
		Objective: q.Arrived.Add(objective),
		Deadline:  q.Deadline,
		Tokens:    expectedOut(r),
		Size:      float64(r.TokensIn + outWeight*r.TokensOut),
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
	for _, id := range w.exclude {
		out.Flow ^= routing.ArtifactKey(id)
	}
	return out
}

// expectedOut is the expected length of an answer in tokens: the client's
// estimate, else half of what it allows.
func expectedOut(r *fleet.Request) int {
	if r.LengthHint > 0 {
		return min(r.LengthHint, max(r.TokensOut, 1))
	}
	return r.TokensOut / 2
}

// await waits for the turn of a request in the line.
func (b *Balancer) await(ctx context.Context, p *pool, w *waiting) (*Ticket, *Rejection) {
	select {
	case t := <-w.turn:
		return t.ticket, t.rejection
	case <-ctx.Done():
	}
	b.mu.Lock()
	p.line.Remove(func(other *waiting) bool { return other == w })
	delete(p.waiting, w)
	b.mu.Unlock()
	select {
	case t := <-w.turn:
		if t.ticket != nil {
			t.ticket.End()
		}
	default:
	}
	return nil, &Rejection{Reason: "the wait ended first", Left: true}
}

// giveTurns sends and rejects what is due. b.mu is held.
func (b *Balancer) giveTurns(p *pool) {
	now := time.Now()
	offers := b.offers(p, now)
	for {
		out, ok := p.line.Next(now, offers)
		if !ok {
			break
		}
		w := out.Item
		delete(p.waiting, w)
		if out.Action == admission.Reject {
			w.turn <- turn{rejection: p.rejection(w, out.Verdict, now)}
			continue
		}
		w.turn <- turn{ticket: b.begin(p, w, &out.Offer, now)}
	}
	p.forgetMissing(now)
}

func (p *pool) rejection(w *waiting, v admission.Verdict, now time.Time) *Rejection {
	r := &Rejection{Reason: v.Reason, RetryAfter: v.RetryAfter, Expected: v.Wait, Waiting: p.line.Len()}
	if w.artifact.model != "" {
		r.Holders = p.replicas(w, now, false)
		r.NotHeld = r.Holders == 0
	}
	if d := p.demand[w.artifact.model]; r.NotHeld && d != nil {
		d.Refused++
	}
	return r
}

// note counts the demand for a model.
func (p *pool) note(w *waiting, q Query) {
	if p.engine == nil || w.artifact.model == "" {
		return
	}
	d := p.demand[w.artifact.model]
	if d == nil {
		d = &residence.ModelDemand{Service: p.name, Model: w.artifact.model, Urgency: w.priority}
		p.demand[w.artifact.model] = d
	}
	d.Arrivals++
	d.PrefillTokens += q.Request.TokensIn
	d.Urgency = min(d.Urgency, w.priority)
}
