package balance

import (
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/fleet"
	"peridotchute.example/routing"
)

// Ticket is one attempt in progress at a server. End must be called.
type Ticket struct {
	Server   *fleet.Server // as it was when the attempt began
	Expected time.Duration // until the first event
	Backlog  time.Duration // of it, work before the request
	Cached   int           // tokens of the prompt that the server keeps
	Holders  int           // usable servers that held what is asked for; 0 at plain services
	Running  int           // requests that this entry had sent there before and that had not ended

	b        *Balancer
	p        *pool
	s        *server
	artifact artifact
	sending  routing.Sending
	plain    routing.PlainChoice // at plain services
	begun    time.Time
	started  bool
	ended    bool
}

// begin records that a request is sent. b.mu is held.
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
		begun:    now,
	}
	if s.engine != nil && w.artifact.model != "" {
		t.Holders = p.replicas(w, now, false)
	}
	if s.engine != nil {
		t.sending = routing.Sending{Priority: w.priority, Work: o.Work, Tokens: w.prompt.Memory()}
	}
	if s.inFlight == 0 {
		s.owes = now
	}
	s.inFlight++
	s.running[w.artifact]++
	s.batch().Sent(t.sending, now)
	if s.engine != nil && w.artifact.model != "" {
		s.engine.Kept.Add(&w.prompt, s.engine.KVTokens-s.engine.Batch.Load(now).Tokens)
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

// Event notes that something of the answer was received.
func (t *Ticket) Event() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.event(time.Now())
}

func (t *Ticket) event(now time.Time) {
	t.s.heard, t.s.owes = now, now
	t.s.downs = 0
	if t.started || t.s.engine == nil {
		return
	}
	t.started = true
	took := now.Sub(t.begun)
	t.s.engine.Started(t.sending, t.p.models.pace(t.artifact.model), t.Expected, took, now)
	t.turns()
}

// turns gives the turns that news of the server allows.
func (t *Ticket) turns() {
	t.p.line.Changed(t.s.ID)
	t.b.giveTurns(t.p)
}

// Succeeded notes that the server answered well.
func (t *Ticket) Succeeded() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	now := time.Now()
	t.event(now)
	if t.s.plain == nil {
		return
	}
	t.p.usual.Answered(&t.plain, now.Sub(t.begun), now)
}

// Failed notes that the server failed the attempt.
func (t *Ticket) Failed() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.s.health().Failed(time.Now())
}

// Unreachable notes that no connection to the server could be made. It reports
// whether that is news.
func (t *Ticket) Unreachable() bool {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.s.downUntil = time.Now().Add(min(downFirst<<min(t.s.downs, 4), downMost))
	t.s.downs++
	t.p.line.Lost()
	return t.s.downs == 1
}

// Declined notes that the server did not run the request; gone that it is
// another one, or lacks the model.
func (t *Ticket) Declined(gone bool) {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	now := time.Now()
	t.s.heard, t.s.owes = now, now
	switch {
	case !gone && t.artifact.model != "":
		t.s.lacks[t.artifact] = now.Add(orderHolds)
	case !gone:
		t.s.health().Failed(now)
	case t.artifact.model != "":
		t.s.lacks[t.artifact] = now.Add(lackHolds)
		delete(t.s.added, t.artifact)
	default:
		t.s.downUntil = now.Add(lackHolds)
	}
}

// ServerSilent reports whether nothing was received from the server for d
// though it owes an answer.
func (t *Ticket) ServerSilent(d time.Duration) bool {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	now := time.Now()
	if now.Sub(t.s.heard) < d || now.Sub(t.s.owes) < d {
		return false
	}
	t.s.health().Silenced(now)
	return true
}

// End ends the attempt.
func (t *Ticket) End() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.s.inFlight--
	if t.s.running[t.artifact]--; t.s.running[t.artifact] <= 0 {
		delete(t.s.running, t.artifact)
	}
	t.s.batch().Ended(t.sending, t.started, time.Now())
	t.turns()
}
