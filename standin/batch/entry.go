package batch

import (
	"strconv"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/routing"
)

// attempt is one client attempt at an entry, which may send it to several servers.
type attempt struct {
	*request
	entry      *entry
	prompt     routing.Prompt
	arrived    time.Time // of this attempt; an entry does not recognize retries of clients
	sendCount  int
	server     int // index; -1 while no server has the request
	generation *generation
	sent       routing.SentRequest
	started    bool
	sentAt     time.Time
	offer      admission.Offer
}

// entry is an emulated entry. Its plain part serves the plain service.
type entry struct {
	*world
	name             string
	queue            *admission.PriorityQueue[*attempt]
	states           []*routing.EngineServer // by server index
	prefillTimes     []routing.PrefillTime   // by model
	prefixes         *routing.PrefixCaches
	candidates       []routing.Replica // of the current request's model; reused
	candidateServers []int             // server index of each candidate
	budget           admission.RetryBudget
	wakeAt           time.Time  // of the next scheduled processQueue
	waiting          []*attempt // sent to a server, no event received yet
	plain            *plainEntry
}

func newEntry(w *world, number int) *entry {
	e := &entry{world: w, name: strconv.Itoa(number), queue: admission.NewPriorityQueue[*attempt](), prefixes: routing.NewPrefixCaches(), prefillTimes: make([]routing.PrefillTime, len(w.Models))}
	e.plain = newPlainEntry(w, number)
	e.budget = admission.RetryBudget{Ratio: 0.2, Slack: 54, Entries: max(w.Entries, 1), Rank: number, Window: 10 * time.Second}
	for i := range w.servers {
		s := routing.NewEngineServer("s"+strconv.Itoa(i), w.Engine.Slots, w.Engine.KVTokens, e.prefixes.NewCache())
		s.RoundTrip = 2 * e.delay(i, number)
		e.states = append(e.states, s)
	}
	return e
}

// delay returns the one-way network delay between a server and an entry. Every third
// server and every third entry is in the other region.
func (w *world) delay(server, entry int) time.Duration {
	if (server%3 == 2) != (entry%3 == 2) {
		return remoteDelay
	}
	return serverDelay
}

func (e *entry) delayTo(server int) time.Duration { return e.delay(server, e.plain.number) }

// arrive handles the arrival of a client attempt.
func (e *entry) arrive(r *request) {
	if r.kind.MeanServiceTime > 0 {
		e.plain.arrive(r)
		return
	}
	a := &attempt{request: r, entry: e, arrived: e.clock.now, server: -1}
	e.budget.Request(e.clock.now)
	e.enqueue(a)
}

// enqueue queues an attempt, or sends it immediately under the policies without a
// queue. A partly received answer is continued after its last event.
func (e *entry) enqueue(a *attempt) {
	if e.Policy != Queued {
		e.sendImmediately(a)
		return
	}
	now := e.clock.now
	w := admission.Waiter{
		Kind:      a.kind.Name,
		Flow:      routing.ArtifactKey(strconv.Itoa(a.model)),
		Priority:  a.kind.Priority,
		Arrived:   a.arrived,
		Objective: a.arrived.Add(a.kind.Objective),
		Deadline:  a.deadline,
		Tokens:    a.outputTokens - a.generated,
		Size:      a.size(),
	}
	if a.generated > 0 {
		w.Resumed, w.Objective = true, now.Add(a.kind.MaxGap)
	}
	if out := e.queue.Enqueue(a, w, now, e.findOffer); out.Action == admission.Reject {
		e.reject(a, out.RetryAfter)
		return
	}
	e.processQueue()
}

// sendImmediately sends an attempt without queueing, or rejects it if no server is
// available.
func (e *entry) sendImmediately(a *attempt) {
	offer, ok := e.findOffer(a, false)
	if !ok {
		e.reject(a, a.deadline.Sub(e.clock.now)/3)
		return
	}
	e.send(a, offer)
}

// processQueue sends and rejects requests as the queue decides and schedules the next
// call.
func (e *entry) processQueue() {
	now := e.clock.now
	for out, ok := e.queue.Next(now, e.findOffer); ok; out, ok = e.queue.Next(now, e.findOffer) {
		if out.Action == admission.Admit {
			e.send(out.Item, out.Offer)
			continue
		}
		e.reject(out.Item, out.RetryAfter)
	}
	wake := e.queue.NextWake()
	if wake.IsZero() || (e.wakeAt.After(now) && !wake.Before(e.wakeAt)) {
		return
	}
	e.wakeAt = wake
	e.clock.after(wake.Sub(now), e.processQueue)
}

// findOffer returns the best server for a request by the policy. It implements
// admission.OfferFunc.
func (e *entry) findOffer(a *attempt, planned bool) (admission.Offer, bool) {
	now := e.clock.now
	a.prompt = routing.NewPrompt(strconv.Itoa(a.model), a.parts, a.inputTokens, a.outputTokens, e.prefillTimes[a.model].PerToken())
	a.prompt.Priority, a.prompt.Planned = a.kind.Priority, planned
	e.setCandidates(a.model)
	if e.Policy == LeastBusy {
		return e.leastBusy(now)
	}
	choice, err := routing.ChooseEngine(e.candidates, e.prefixes, &a.prompt, now)
	if err != nil {
		return admission.Offer{}, false
	}
	offer := admission.EngineOffer(&choice)
	offer.Index = e.candidateServers[choice.Index]
	return offer, true
}

// setCandidates sets the candidates to the servers that have loaded or are loading a model.
func (e *entry) setCandidates(model int) {
	e.candidates, e.candidateServers = e.candidates[:0], e.candidateServers[:0]
	m, since := &e.Models[model], e.clock.now.Sub(e.start)
	for _, i := range m.Servers {
		e.candidates = append(e.candidates, routing.Replica{Server: e.states[i]})
		e.candidateServers = append(e.candidateServers, i)
	}
	for _, l := range m.Loads {
		if since >= l.Ordered {
			e.candidates = append(e.candidates, routing.Replica{Server: e.states[l.Server], Load: max(l.Done-since, 0)})
			e.candidateServers = append(e.candidateServers, l.Server)
		}
	}
}

// leastBusy returns the candidate with the fewest requests of this entry.
func (e *entry) leastBusy(now time.Time) (admission.Offer, bool) {
	best, fewest := -1, 0
	for i, r := range e.candidates {
		load := r.Server.Batch.OwnLoad(now)
		if n := load.Waiting + load.Running; r.Server.Usable && r.Load == 0 && (best < 0 || n < fewest) {
			best, fewest = i, n
		}
	}
	if best < 0 {
		return admission.Offer{}, false
	}
	s := e.candidates[best].Server
	return admission.Offer{Server: s.Name, Index: e.candidateServers[best], Batch: &s.Batch, Backlog: s.Batch.Backlog(now)}, true
}

// send sends an attempt to the offered server.
func (e *entry) send(a *attempt, o admission.Offer) {
	now, state := e.clock.now, e.states[o.Index]
	a.server, a.started, a.offer, a.sentAt = o.Index, false, o, now
	a.sendCount++
	a.sent = routing.SentRequest{Priority: a.kind.Priority, Work: o.Work, Tokens: a.prompt.Memory()}
	state.Batch.Sent(a.sent, now)
	state.PrefixCache.Add(&a.prompt, state.KVTokens-state.Batch.Load(now).Tokens)
	prompt := a.prompt
	g := &generation{prompt: &prompt, timeFactor: e.timeFactor(a.model), urgency: a.kind.Priority, generated: a.generated}
	g.onEvent = func(done bool) { e.clock.after(e.delayTo(o.Index), func() { e.onEvent(a, g, done) }) }
	g.onFailure = func() { e.clock.after(e.delayTo(o.Index), func() { e.handleFailure(a, g) }) }
	a.generation = g
	e.waiting = append(e.waiting, a)
	e.clock.after(e.delayTo(o.Index), func() {
		s := e.servers[o.Index]
		if a.generation == g && (!s.up || !s.submit(g)) {
			g.onFailure()
		}
	})
	e.clock.after(a.deadline.Sub(now), func() { e.expire(a, g) })
}

// timeFactor returns the TimeFactor of a model with its default applied.
func (w *world) timeFactor(model int) float64 {
	if p := w.Models[model].TimeFactor; p > 0 {
		return p
	}
	return 1
}

// onEvent relays an event of an answer to the client. Events of an earlier send are
// ignored.
func (e *entry) onEvent(a *attempt, g *generation, done bool) {
	if a.generation != g {
		return
	}
	now, state := e.clock.now, e.states[a.server]
	if !a.started {
		a.started = true
		e.removeWaiting(a)
		state.Started(a.sent, &e.prefillTimes[a.model], a.offer.Wait, now.Sub(a.sentAt), now)
		e.queue.ServerChanged(state.Name)
	}
	a.generated = g.generated
	a.recordEvent(now.Add(clientDelay))
	if done {
		e.endAttempt(a, now)
		e.countServed(a.request)
	}
	e.processQueue()
}

// endAttempt removes an attempt from its server's load.
func (e *entry) endAttempt(a *attempt, now time.Time) {
	state := e.states[a.server]
	e.removeWaiting(a)
	state.Batch.Ended(a.sent, a.started, now)
	a.generation, a.server = nil, -1
	e.queue.ServerChanged(state.Name)
}

// handleFailure handles a reset or a rejection by a server. The request is queued
// again, to continue after the last event, if its sends and the retry budget allow.
func (e *entry) handleFailure(a *attempt, g *generation) {
	if a.generation != g {
		return
	}
	now := e.clock.now
	e.states[a.server].Health.Failed(now)
	e.endAttempt(a, now)
	if a.sendCount < max(a.kind.MaxSends, 1) && e.budget.Take(now) {
		e.enqueue(a)
		return
	}
	e.countFailed(a.request)
}

// expire cancels an attempt at its client's deadline.
func (e *entry) expire(a *attempt, g *generation) {
	if a.generation != g {
		return
	}
	e.servers[a.server].cancel(g)
	e.endAttempt(a, e.clock.now)
	e.countFailed(a.request)
	e.processQueue()
}

// reject rejects an attempt with a delay for the client's retry. An answer that has
// started can't be rejected and fails instead.
func (e *entry) reject(a *attempt, retryAfter time.Duration) {
	if a.generated > 0 {
		e.countFailed(a.request)
		return
	}
	e.retryLater(a.request, retryAfter)
}
