package balance

import (
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/fleet"
	"peridotchute.example/routing"
)

// Ticket is one attempt in progress at a server. Callers must call End.
type Ticket struct {
	Server   *fleet.Server // registration when the attempt began
	Expected time.Duration // expected time until the first event
	Backlog  time.Duration // part of Expected spent on earlier work
	Cached   int           // tokens of the prompt in the server's prefix cache
	Replicas int           // usable servers that had loaded the model or adapter; 0 for plain services
	Running  int           // requests of this entry in progress at the server before this one

	b        *Balancer
	p        *pool
	s        *server
	artifact artifact
	sent     routing.SentRequest
	plain    routing.PlainChoice // plain services only
	sentAt   time.Time
	started  bool
	ended    bool

	streamTime time.Duration // expected time after the first event; 0 if it is not measured
	startedAt  time.Time     // of the first event
	succeeded  bool
}

// begin creates the ticket of a request that is sent and counts it at its
// server. The caller holds b.mu.
func (b *Balancer) begin(p *pool, w *waiting, o *admission.Offer, now time.Time) *Ticket {
	s := w.server
	registered := s.Server
	t := &Ticket{
		Server:   &registered,
		Expected: o.Wait,
		Backlog:  o.Backlog,
		Cached:   w.cached,
		Running:  s.inFlight,
		b:        b,
		p:        p,
		s:        s,
		artifact: w.artifact,
		plain:    w.plain,
		sentAt:   now,
	}
	if s.engine != nil && w.artifact.model != "" {
		t.Replicas = b.replicas(p, w, now, false)
	}
	if s.engine != nil {
		t.sent = routing.SentRequest{Priority: w.priority, Work: o.Work, Tokens: w.prompt.Memory()}
		t.streamTime = time.Duration(w.newTokens) * o.Step
	}
	if s.inFlight == 0 {
		s.awaitingSince = now
	}
	s.inFlight++
	s.limit.Take(now)
	s.running[w.artifact]++
	s.batch().Sent(t.sent, now)
	if s.engine != nil && w.artifact.model != "" {
		s.engine.PrefixCache.Add(&w.prompt, s.engine.KVTokens-s.engine.Batch.Load(now).Tokens)
	}
	return t
}

func (s *server) batch() *routing.Batch {
	if s.engine != nil {
		return &s.engine.Batch
	}
	return &s.plain.Batch
}

func (s *server) health() *routing.Health {
	if s.engine != nil {
		return &s.engine.Health
	}
	return &s.plain.Health
}

// Event records that part of the answer was received.
func (t *Ticket) Event() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.recordEvent(time.Now())
}

func (t *Ticket) recordEvent(now time.Time) {
	t.s.lastReceived, t.s.awaitingSince = now, now
	t.s.failedDials = 0
	if t.started || t.s.engine == nil {
		return
	}
	t.started, t.startedAt = true, now
	took := now.Sub(t.sentAt)
	t.s.engine.Started(t.sent, t.p.models.prefillTime(t.artifact.model), t.Expected, took, now)
	t.redispatch()
}

// redispatch dispatches queued requests after a change at the ticket's server.
func (t *Ticket) redispatch() {
	t.p.queue.ServerChanged(t.s.ID)
	t.b.dispatch(t.p)
}

// Succeeded records a successful answer.
func (t *Ticket) Succeeded() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	now := time.Now()
	t.recordEvent(now)
	t.succeeded = true
	if t.s.plain == nil {
		return
	}
	t.p.serviceTime.Observe(&t.plain, now.Sub(t.sentAt), now)
}

// Failed records that the server failed the attempt.
func (t *Ticket) Failed() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.s.health().Failed(time.Now())
}

// Unreachable records that no connection to the server could be made. It
// returns true for the first of consecutive failures.
func (t *Ticket) Unreachable() bool {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.s.downUntil = time.Now().Add(min(minDownTime<<min(t.s.failedDials, 4), maxDownTime))
	t.s.failedDials++
	t.p.queue.ServersLost()
	return t.s.failedDials == 1
}

// Declined records that the server did not run the request, as its answer says: it was busy, it
// has not loaded the model, or another process answered at its address.
func (t *Ticket) Declined(o fleet.Outcome) {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	now := time.Now()
	t.s.lastReceived, t.s.awaitingSince = now, now
	wrongServer := o.Misdirected
	switch {
	case wrongServer && o.AnsweredBy != "" && o.AnsweredBy != t.s.ID:
		t.s.replaced, t.s.downUntil = true, now.Add(replacedTTL)
	case !wrongServer && t.artifact.model != "":
		t.s.notLoadedUntil[t.artifact] = now.Add(declinedTTL)
	case !wrongServer:
		t.s.health().Failed(now)
	case t.artifact.model != "":
		t.s.notLoadedUntil[t.artifact] = now.Add(notLoadedTTL)
		delete(t.s.ensuredAt, t.artifact)
	default:
		t.s.downUntil = now.Add(notLoadedTTL)
	}
}

// Silence returns for how long an answer has been pending and nothing was
// received from the server on any connection.
func (t *Ticket) Silence() time.Duration {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	now := time.Now()
	return min(now.Sub(t.s.lastReceived), now.Sub(t.s.awaitingSince))
}

// Stalled records that the server is silent, so that others are preferred.
func (t *Ticket) Stalled() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.s.health().Stalled(time.Now())
}

// End ends the attempt and dispatches queued requests. Further calls have no
// effect.
func (t *Ticket) End() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.recordStreamTime(time.Now())
	t.s.inFlight--
	if t.s.running[t.artifact]--; t.s.running[t.artifact] <= 0 {
		delete(t.s.running, t.artifact)
	}
	t.s.batch().Ended(t.sent, t.started, time.Now())
	t.redispatch()
}

// recordStreamTime learns from how long a stream took, unless it is resumed: how much of
// its answer was left is not known.
func (t *Ticket) recordStreamTime(now time.Time) {
	if t.started && t.streamTime > 0 {
		t.p.models.streamTime.Ended(t.streamTime, now.Sub(t.startedAt), t.succeeded)
	}
}
