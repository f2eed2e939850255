package batch

import (
	"strconv"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/routing"
)

// attempt is one client attempt at one entry.
type attempt struct {
	*request
	entry   *entry
	prompt  routing.Prompt
	arrived time.Time // the entry can't tell that a client has come back
	sends   int
	server  int // -1 while none has it
	run     *run
	sent    routing.SentRequest
	started bool
	sentAt  time.Time
	expect  admission.Offer
}

// entry is one emulated entry.
type entry struct {
	*world
	name         string
	queue        *admission.PriorityQueue[*attempt]
	known        []*routing.EngineServer
	prefillTimes []routing.PrefillTime // of the models
	prefixes     *routing.PrefixCaches
	scratch      []routing.Replica
	index        []int // server of each of scratch
	budget       admission.RetryBudget
	wakeAt       time.Time
	waiting      []*attempt // sent, without a first event
	plain        *plainEntry
}

func newEntry(w *world, number int) *entry {
	e := &entry{world: w, name: strconv.Itoa(number), queue: admission.NewPriorityQueue[*attempt](), prefixes: routing.NewPrefixCaches(), prefillTimes: make([]routing.PrefillTime, len(w.Models))}
	e.plain = newPlainEntry(w, number)
	e.budget = admission.RetryBudget{Ratio: 0.2, Slack: 54, Parts: max(w.Entries, 1), Window: 10 * time.Second}
	for i := range w.servers {
		s := routing.NewEngineServer("s"+strconv.Itoa(i), w.Engine.Slots, w.Engine.KVTokens, e.prefixes.NewCache())
		s.RoundTrip = 2 * e.delay(i, number)
		e.known = append(e.known, s)
	}
	return e
}

// delay is one way between a server and an entry: every third server is far.
func (w *world) delay(server, entry int) time.Duration {
	if (server%3 == 2) != (entry%3 == 2) {
		return farDelay
	}
	return serverDelay
}

func (e *entry) to(server int) time.Duration { return e.delay(server, e.plain.number) }

// arrive takes a client attempt.
func (e *entry) arrive(r *request) {
	if r.kind.Work > 0 {
		e.plain.arrive(r)
		return
	}
	a := &attempt{request: r, entry: e, arrived: e.clock.now, server: -1}
	e.budget.Request(e.clock.now)
	e.enter(a)
}

func (e *entry) enter(a *attempt) {
	if e.Policy != Line {
		e.eager(a)
		return
	}
	now := e.clock.now
	w := admission.Waiter{
		Kind:      a.kind.Name,
		Flow:      routing.ArtifactKey(strconv.Itoa(a.model)),
		Priority:  a.kind.Priority,
		Arrived:   a.arrived,
		Objective: a.arrived.Add(a.kind.Objective),
		Deadline:  a.due,
		Tokens:    a.out - a.made,
		Size:      a.size(),
	}
	if a.made > 0 {
		w.Resumed, w.Objective = true, now.Add(a.kind.Gap)
	}
	if out := e.queue.Enqueue(a, w, now, e.offers); out.Action == admission.Reject {
		e.refuse(a, out.RetryAfter)
		return
	}
	e.decide()
}

// eager sends at once, as the baselines do.
func (e *entry) eager(a *attempt) {
	offer, ok := e.offers(a, false)
	if !ok {
		e.refuse(a, a.due.Sub(e.clock.now)/3)
		return
	}
	e.send(a, offer)
}

// decide carries out the decisions of the queue.
func (e *entry) decide() {
	now := e.clock.now
	for out, ok := e.queue.Next(now, e.offers); ok; out, ok = e.queue.Next(now, e.offers) {
		if out.Action == admission.Admit {
			e.send(out.Item, out.Offer)
			continue
		}
		e.refuse(out.Item, out.RetryAfter)
	}
	wake := e.queue.NextWake()
	if wake.IsZero() || (e.wakeAt.After(now) && !wake.Before(e.wakeAt)) {
		return
	}
	e.wakeAt = wake
	e.clock.after(wake.Sub(now), e.decide)
}

// offers finds the best server for a request.
func (e *entry) offers(a *attempt, planned bool) (admission.Offer, bool) {
	now := e.clock.now
	a.prompt = routing.NewPrompt(strconv.Itoa(a.model), a.parts, a.in, a.out, e.prefillTimes[a.model].PerToken())
	a.prompt.Priority, a.prompt.Planned = a.kind.Priority, planned
	e.replicas(a.model)
	if e.Policy == Least {
		return e.least(now)
	}
	choice, err := routing.ChooseEngine(e.scratch, e.prefixes, &a.prompt, now)
	if err != nil {
		return admission.Offer{}, false
	}
	offer := admission.EngineOffer(&choice)
	offer.Index = e.index[choice.Index]
	return offer, true
}

// replicas collects the servers that hold a model or load it.
func (e *entry) replicas(model int) {
	e.scratch, e.index = e.scratch[:0], e.index[:0]
	m, since := &e.Models[model], e.clock.now.Sub(e.began)
	for _, i := range m.Servers {
		e.scratch = append(e.scratch, routing.Replica{Server: e.known[i]})
		e.index = append(e.index, i)
	}
	for _, l := range m.Loads {
		if since >= l.Ordered {
			e.scratch = append(e.scratch, routing.Replica{Server: e.known[l.Server], Load: max(l.Done-since, 0)})
			e.index = append(e.index, l.Server)
		}
	}
}

func (e *entry) least(now time.Time) (admission.Offer, bool) {
	best, fewest := -1, 0
	for i, r := range e.scratch {
		load := r.Server.Batch.OwnLoad(now)
		if n := load.Waiting + load.Running; r.Server.Usable && r.Load == 0 && (best < 0 || n < fewest) {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return admission.Offer{}, false
	}
	s := e.scratch[best].Server
	return admission.Offer{Server: s.Name, Index: e.index[best], Batch: &s.Batch, Backlog: s.Batch.Backlog(now)}, true
}

// send sends an attempt to a server.
func (e *entry) send(a *attempt, o admission.Offer) {
	now, known := e.clock.now, e.known[o.Index]
	a.server, a.started, a.expect, a.sentAt = o.Index, false, o, now
	a.sends++
	a.sent = routing.SentRequest{Priority: a.kind.Priority, Work: o.Work, Tokens: a.prompt.Memory()}
	known.Batch.Sent(a.sent, now)
	known.PrefixCache.Add(&a.prompt, known.KVTokens-known.Batch.Load(now).Tokens)
	prompt := a.prompt
	r := &run{prompt: &prompt, pace: e.pace(a.model), urgency: a.kind.Priority, made: a.made}
	r.event = func(done bool) { e.clock.after(e.to(o.Index), func() { e.event(a, r, done) }) }
	r.failed = func() { e.clock.after(e.to(o.Index), func() { e.broken(a, r) }) }
	a.run = r
	e.waiting = append(e.waiting, a)
	e.clock.after(e.to(o.Index), func() {
		s := e.servers[o.Index]
		if a.run == r && (!s.up || !s.submit(r)) {
			r.failed()
		}
	})
	e.clock.after(a.due.Sub(now), func() { e.expire(a, r) })
}

func (w *world) pace(model int) float64 {
	if p := w.Models[model].Pace; p > 0 {
		return p
	}
	return 1
}

// event relays a piece of an answer to the client.
func (e *entry) event(a *attempt, r *run, done bool) {
	if a.run != r {
		return
	}
	now, known := e.clock.now, e.known[a.server]
	if !a.started {
		a.started = true
		e.unwait(a)
		known.Started(a.sent, &e.prefillTimes[a.model], a.expect.Wait, now.Sub(a.sentAt), now)
		e.queue.ServerChanged(known.Name)
	}
	a.made = r.made
	a.receive(now.Add(clientDelay))
	if done {
		e.end(a, now)
		e.finished(a.request)
	}
	e.decide()
}

// end takes an attempt off its server's count.
func (e *entry) end(a *attempt, now time.Time) {
	known := e.known[a.server]
	e.unwait(a)
	known.Batch.Ended(a.sent, a.started, now)
	a.run, a.server = nil, -1
	e.queue.ServerChanged(known.Name)
}

// broken handles a reset or a rejection: another server gets the request,
// which goes on after the last event received.
func (e *entry) broken(a *attempt, r *run) {
	if a.run != r {
		return
	}
	now := e.clock.now
	e.known[a.server].Health.Failed(now)
	e.end(a, now)
	if a.sends < max(a.kind.Sends, 1) && e.budget.Take(now) {
		e.enter(a)
		return
	}
	e.failed(a.request)
}

// expire ends an attempt at its client's deadline.
func (e *entry) expire(a *attempt, r *run) {
	if a.run != r {
		return
	}
	e.servers[a.server].cancel(r)
	e.end(a, e.clock.now)
	e.failed(a.request)
	e.decide()
}

func (e *entry) refuse(a *attempt, after time.Duration) {
	if a.made > 0 {
		e.failed(a.request)
		return
	}
	e.turnAway(a.request, after)
}
