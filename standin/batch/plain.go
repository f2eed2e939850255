package batch

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/routing"
)

// Plain is the timing model of a plain service. The zero value of a field
// means its default; no servers mean that there is no such service.
type Plain struct {
	Servers int
	Slots   int // requests at once
	Queue   int // requests waiting beside them
}

func (p *Plain) fill() {
	orDefault(&p.Slots, 6)
	orDefault(&p.Queue, 24)
}

// call is one request at a plain server.
type call struct {
	work     time.Duration
	answered func(ok bool)
	rejected func()
}

// plainServer is one emulated plain server.
type plainServer struct {
	Plain
	clock   *clock
	up      bool
	slow    float64
	busy    []*call
	waiting []*call
}

func (s *plainServer) submit(c *call) {
	switch {
	case !s.up:
		c.answered(false)
	case len(s.busy) < s.Slots:
		s.begin(c)
	case len(s.waiting) < s.Queue:
		s.waiting = append(s.waiting, c)
	default:
		c.rejected()
	}
}

func (s *plainServer) begin(c *call) {
	s.busy = append(s.busy, c)
	s.clock.after(time.Duration(float64(c.work)*s.slow), func() {
		at := slices.Index(s.busy, c)
		if at < 0 {
			return
		}
		s.busy = slices.Delete(s.busy, at, at+1)
		c.answered(true)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.begin(next)
		}
	})
}

func (s *plainServer) crash() {
	lost := append(s.busy, s.waiting...)
	s.up, s.busy, s.waiting = false, nil, nil
	for _, c := range lost {
		c.answered(false)
	}
}

// plainAttempt is one client attempt for a plain service.
type plainAttempt struct {
	*request
	arrived time.Time
	sends   int
	work    time.Duration
	choice  routing.PlainChoice // the last asked for
}

// plainEntry is the part of an entry that serves the plain service.
type plainEntry struct {
	*world
	number      int
	rnd         *rand.Rand
	queue       *admission.PriorityQueue[*plainAttempt]
	known       []*routing.PlainServer
	serviceTime routing.ServiceTime
	budget      admission.RetryBudget
	wakeAt      time.Time
}

func newPlainEntry(w *world, number int) *plainEntry {
	e := &plainEntry{world: w, number: number, rnd: rand.New(rand.NewPCG(w.Seed, uint64(1000+number))), queue: admission.NewPriorityQueue[*plainAttempt]()}
	e.budget = admission.RetryBudget{Ratio: 0.2, Slack: 54, Parts: max(w.Entries, 1), Window: 10 * time.Second}
	for i := range w.Plain.Servers {
		s := routing.NewPlainServer("p"+strconv.Itoa(i), w.Plain.Slots)
		s.RoundTrip = 2 * w.delay(i, number)
		e.known = append(e.known, s)
	}
	return e
}

const (
	workSpread = 0.5  // of the logarithm
	tailShare  = 0.01 // of the requests take
	tailTimes  = 5    // times as long
)

func (e *plainEntry) arrive(r *request) {
	a := &plainAttempt{request: r, arrived: e.clock.now}
	work := Size{Mean: float64(r.kind.Work), Spread: workSpread}
	a.work = time.Duration(work.draw(e.rnd))
	if e.rnd.Float64() < tailShare {
		a.work *= tailTimes
	}
	e.budget.Request(e.clock.now)
	e.enter(a)
}

func (e *plainEntry) enter(a *plainAttempt) {
	if e.Policy == Least {
		e.least(a)
		return
	}
	if e.Policy == Eager {
		e.eager(a)
		return
	}
	w := admission.Waiter{Kind: a.kind.Name, Priority: a.kind.Priority, Arrived: a.arrived, Objective: a.arrived.Add(a.kind.Objective), Deadline: a.due}
	if out := e.queue.Enqueue(a, w, e.clock.now, e.offers); out.Action == admission.Reject {
		e.refuse(a, out.RetryAfter)
		return
	}
	e.decide()
}

func (e *plainEntry) least(a *plainAttempt) {
	best := slices.MinFunc(e.known, func(x, y *routing.PlainServer) int {
		return x.Batch.OwnLoad(e.clock.now).Waiting - y.Batch.OwnLoad(e.clock.now).Waiting
	})
	a.choice = routing.PlainChoice{Server: best}
	e.send(a, slices.Index(e.known, best))
}

// eager sends at once to the server chosen.
func (e *plainEntry) eager(a *plainAttempt) {
	offer, found := e.offers(a, false)
	if !found {
		e.refuse(a, a.due.Sub(e.clock.now)/3)
		return
	}
	e.send(a, offer.Index)
}

func (e *plainEntry) offers(a *plainAttempt, planned bool) (admission.Offer, bool) {
	req := routing.PlainRequest{ServiceTime: e.serviceTime.Value(), Draw: e.rnd.Uint64(), Priority: a.kind.Priority, Planned: planned}
	choice, err := routing.ChoosePlain(e.known, req, e.clock.now)
	if err != nil {
		return admission.Offer{}, false
	}
	a.choice = choice
	return admission.PlainOffer(&choice, req.ServiceTime), true
}

func (e *plainEntry) decide() {
	now := e.clock.now
	for out, ok := e.queue.Next(now, e.offers); ok; out, ok = e.queue.Next(now, e.offers) {
		if out.Action == admission.Admit {
			e.send(out.Item, out.Offer.Index)
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

func (e *plainEntry) send(a *plainAttempt, i int) {
	now, known, choice := e.clock.now, e.known[i], a.choice
	a.sends++
	known.Batch.Sent(routing.SentRequest{}, now)
	ended := false
	back := func(f func()) func() {
		return func() {
			e.clock.after(e.delay(i, e.number), func() {
				if ended {
					return
				}
				ended = true
				known.Batch.Ended(routing.SentRequest{}, false, e.clock.now)
				e.queue.ServerChanged(known.Name)
				f()
				e.decide()
			})
		}
	}
	succeeded := back(func() { e.succeeded(a, &choice, e.clock.now.Sub(now)) })
	failed := back(func() { e.failedAt(a, known, a.kind.Repeat) })
	rejected := back(func() { e.failedAt(a, known, true) })
	c := &call{work: a.work, rejected: rejected}
	c.answered = func(ok bool) {
		if ok {
			succeeded()
			return
		}
		failed()
	}
	e.clock.after(e.delay(i, e.number), func() { e.plains[i].submit(c) })
	e.clock.after(a.due.Sub(now), back(func() { e.failed(a.request) }))
}

func (e *plainEntry) succeeded(a *plainAttempt, choice *routing.PlainChoice, took time.Duration) {
	now := e.clock.now
	e.serviceTime.Observe(choice, took, now)
	a.receive(now.Add(clientDelay))
	e.finished(a.request)
}

// failedAt handles a rejection, or a reset of a request that may be repeated.
func (e *plainEntry) failedAt(a *plainAttempt, known *routing.PlainServer, again bool) {
	now := e.clock.now
	known.Health.Failed(now)
	switch {
	case again && a.sends < max(a.kind.Sends, 1) && e.budget.Take(now):
		e.enter(a)
	case again:
		e.refuse(a, a.due.Sub(now)/3)
	default:
		e.failed(a.request)
	}
}

func (e *plainEntry) refuse(a *plainAttempt, after time.Duration) { e.turnAway(a.request, after) }

func (e *plainEntry) hear(from *plainEntry) {
	now := e.clock.now
	for i, s := range from.known {
		e.known[i].Batch.SetPeerLoad(strconv.Itoa(from.number), s.Batch.OwnLoad(now), now, now)
	}
	e.queue.ServerChanged("")
}
