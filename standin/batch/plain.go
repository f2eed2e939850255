package batch

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/routing"
)

// Plain configures the plain service. The zero value of Slots and MaxWaiting means
// their defaults; without servers there is no such service.
type Plain struct {
	Servers    int
	Slots      int // concurrent requests per server
	MaxWaiting int // requests in a server's queue
}

func (p *Plain) setDefaults() {
	setDefault(&p.Slots, 6)
	setDefault(&p.MaxWaiting, 24)
}

// call is a request at a plain server.
type call struct {
	serviceTime time.Duration
	onAnswer    func(ok bool) // not ok if the server is down or crashes
	onReject    func()
}

// plainServer is an emulated plain server.
type plainServer struct {
	Plain
	clock      *clock
	up         bool
	slowFactor float64
	running    []*call
	waiting    []*call
}

func (s *plainServer) submit(c *call) {
	switch {
	case !s.up:
		c.onAnswer(false)
	case len(s.running) < s.Slots:
		s.begin(c)
	case len(s.waiting) < s.MaxWaiting:
		s.waiting = append(s.waiting, c)
	default:
		c.onReject()
	}
}

func (s *plainServer) begin(c *call) {
	s.running = append(s.running, c)
	s.clock.after(time.Duration(float64(c.serviceTime)*s.slowFactor), func() {
		at := slices.Index(s.running, c)
		if at < 0 {
			return
		}
		s.running = slices.Delete(s.running, at, at+1)
		c.onAnswer(true)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.begin(next)
		}
	})
}

func (s *plainServer) crash() {
	failed := append(s.running, s.waiting...)
	s.up, s.running, s.waiting = false, nil, nil
	for _, c := range failed {
		c.onAnswer(false)
	}
}

// plainAttempt is one client attempt for the plain service.
type plainAttempt struct {
	*request
	arrived     time.Time
	sendCount   int
	serviceTime time.Duration
	choice      routing.PlainChoice // of the last findOffer
}

// plainEntry is the part of an entry that serves the plain service.
type plainEntry struct {
	*world
	number      int
	rnd         *rand.Rand
	queue       *admission.PriorityQueue[*plainAttempt]
	states      []*routing.PlainServer
	serviceTime routing.ServiceTime
	budget      admission.RetryBudget
	wakeAt      time.Time
}

func newPlainEntry(w *world, number int) *plainEntry {
	e := &plainEntry{world: w, number: number, rnd: rand.New(rand.NewPCG(w.Seed, uint64(1000+number))), queue: admission.NewPriorityQueue[*plainAttempt]()}
	e.budget = admission.RetryBudget{Ratio: 0.2, Slack: 54, Entries: max(w.Entries, 1), Rank: number, Window: 10 * time.Second}
	for i := range w.Plain.Servers {
		s := routing.NewPlainServer("p"+strconv.Itoa(i), w.Plain.Slots)
		s.RoundTrip = 2 * w.delay(i, number)
		e.states = append(e.states, s)
	}
	return e
}

const (
	serviceTimeSpread = 0.5  // standard deviation of the logarithm
	tailShare         = 0.01 // share of requests in the tail
	tailFactor        = 5    // multiplier of their service time
)

// arrive handles the arrival of a client attempt and draws its service time.
func (e *plainEntry) arrive(r *request) {
	a := &plainAttempt{request: r, arrived: e.clock.now}
	distribution := Size{Mean: float64(r.kind.MeanServiceTime), Spread: serviceTimeSpread}
	a.serviceTime = time.Duration(distribution.draw(e.rnd))
	if e.rnd.Float64() < tailShare {
		a.serviceTime *= tailFactor
	}
	e.budget.Request(e.clock.now)
	e.enqueue(a)
}

func (e *plainEntry) enqueue(a *plainAttempt) {
	if e.Policy == LeastBusy {
		e.sendToLeastBusy(a)
		return
	}
	if e.Policy == Immediate {
		e.sendImmediately(a)
		return
	}
	w := admission.Waiter{Kind: a.kind.Name, Priority: a.kind.Priority, Arrived: a.arrived, Objective: a.arrived.Add(a.kind.Objective), Deadline: a.deadline}
	if out := e.queue.Enqueue(a, w, e.clock.now, e.findOffer); out.Action == admission.Reject {
		e.reject(a, out.RetryAfter)
		return
	}
	e.processQueue()
}

// sendToLeastBusy sends an attempt to the server with the fewest requests of this
// entry.
func (e *plainEntry) sendToLeastBusy(a *plainAttempt) {
	best := slices.MinFunc(e.states, func(x, y *routing.PlainServer) int {
		return x.Batch.OwnLoad(e.clock.now).Waiting - y.Batch.OwnLoad(e.clock.now).Waiting
	})
	a.choice = routing.PlainChoice{Server: best}
	e.send(a, slices.Index(e.states, best))
}

// sendImmediately sends an attempt without queueing, or rejects it if no server is
// available.
func (e *plainEntry) sendImmediately(a *plainAttempt) {
	offer, found := e.findOffer(a, false)
	if !found {
		e.reject(a, a.deadline.Sub(e.clock.now)/3)
		return
	}
	e.send(a, offer.Index)
}

func (e *plainEntry) findOffer(a *plainAttempt, planned bool) (admission.Offer, bool) {
	req := routing.PlainRequest{ServiceTime: e.serviceTime.Value(), Draw: e.rnd.Uint64(), Priority: a.kind.Priority, Planned: planned}
	choice, err := routing.ChoosePlain(e.states, req, e.clock.now)
	if err != nil {
		return admission.Offer{}, false
	}
	a.choice = choice
	return admission.PlainOffer(&choice, req.ServiceTime), true
}

func (e *plainEntry) processQueue() {
	now := e.clock.now
	for out, ok := e.queue.Next(now, e.findOffer); ok; out, ok = e.queue.Next(now, e.findOffer) {
		if out.Action == admission.Admit {
			e.send(out.Item, out.Offer.Index)
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

func (e *plainEntry) send(a *plainAttempt, i int) {
	now, state, choice := e.clock.now, e.states[i], a.choice
	a.sendCount++
	state.Batch.Sent(routing.SentRequest{}, now)
	// Only the first of answer, rejection and deadline counts.
	responded := false
	onResponse := func(f func()) func() {
		return func() {
			e.clock.after(e.delay(i, e.number), func() {
				if responded {
					return
				}
				responded = true
				state.Batch.Ended(routing.SentRequest{}, false, e.clock.now)
				e.queue.ServerChanged(state.Name)
				f()
				e.processQueue()
			})
		}
	}
	succeeded := onResponse(func() { e.handleSuccess(a, &choice, e.clock.now.Sub(now)) })
	failed := onResponse(func() { e.handleFailure(a, state, a.kind.Idempotent) })
	rejected := onResponse(func() { e.handleFailure(a, state, true) })
	c := &call{serviceTime: a.serviceTime, onReject: rejected}
	c.onAnswer = func(ok bool) {
		if ok {
			succeeded()
			return
		}
		failed()
	}
	e.clock.after(e.delay(i, e.number), func() { e.plainServers[i].submit(c) })
	e.clock.after(a.deadline.Sub(now), onResponse(func() { e.countFailed(a.request) }))
}

func (e *plainEntry) handleSuccess(a *plainAttempt, choice *routing.PlainChoice, serviceTime time.Duration) {
	now := e.clock.now
	e.serviceTime.Observe(choice, serviceTime, now)
	a.recordEvent(now.Add(clientDelay))
	e.countServed(a.request)
}

// handleFailure handles a rejection or a reset. If mayRepeat, the request is queued
// again, or rejected if its sends or the retry budget are exhausted; otherwise it has
// failed.
func (e *plainEntry) handleFailure(a *plainAttempt, state *routing.PlainServer, mayRepeat bool) {
	now := e.clock.now
	state.Health.Failed(now)
	switch {
	case mayRepeat && a.sendCount < max(a.kind.MaxSends, 1) && e.budget.Take(now):
		e.enqueue(a)
	case mayRepeat:
		e.reject(a, a.deadline.Sub(now)/3)
	default:
		e.countFailed(a.request)
	}
}

func (e *plainEntry) reject(a *plainAttempt, retryAfter time.Duration) {
	e.retryLater(a.request, retryAfter)
}

func (e *plainEntry) setPeerLoads(from *plainEntry) {
	now := e.clock.now
	for i, s := range from.states {
		e.states[i].Batch.SetPeerLoad(strconv.Itoa(from.number), s.Batch.OwnLoad(now), now, now)
	}
	e.queue.ServerChanged("")
}
