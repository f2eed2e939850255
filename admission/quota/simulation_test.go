package quota

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	testInterval = 200 * time.Millisecond
	testStep     = 20 * time.Millisecond
)

var (
	testLimit  = Limit{PerSecond: 20_000, Burst: 40_000}
	testBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 72_000}
)

// allowed is a request that was allowed, and ran unless it was handed back.
type allowed struct {
	at   time.Duration
	cost float64
	ran  bool
}

// simulated is a deployment of entries without a network, in simulated time.
type simulated struct {
	rnd     *rand.Rand
	now     time.Duration
	limit   Limit
	entries []*simulatedEntry
	log     []*allowed
	returns []handedBack
	notRun  float64 // share of the allowed requests that do not run
	asked   int
	refused int
	mutation
}

// handedBack is the cost of a request that does not run, once that is known.
type handedBack struct {
	entry *simulatedEntry
	cost  float64
	at    time.Duration
}

// mutation breaks one rule of the division; the zero value breaks none.
type mutation struct {
	share        func(*Share)
	allUse       bool // pools keep what entries deposited that use another one now
	undoWhenSent bool // takes back payments that were sent
}

type simulatedEntry struct {
	name   string
	part   Part
	pool   Pool
	users  Contacts      // of the pool at this entry
	poolOf int           // index of the entry that this one uses as the pool
	paused time.Duration // until when it does nothing
	paid   time.Duration // last payment
}

func newSimulated(seed uint64, entries int) *simulated {
	s := &simulated{rnd: rand.New(rand.NewPCG(seed, 1)), limit: testLimit, notRun: 0.3}
	for i := range entries {
		s.entries = append(s.entries, &simulatedEntry{name: strconv.Itoa(i)})
	}
	return s
}

func (s *simulated) share() Share {
	out := Divide(s.limit, testBounds, len(s.entries), testInterval)
	if s.mutation.share != nil {
		s.mutation.share(&out)
	}
	return out
}

// step makes the payments that are due and moves the clock on.
func (s *simulated) step() {
	s.now += testStep
	s.handBack()
	for _, e := range s.entries {
		if s.now < e.paused || s.now-e.paid < testInterval {
			continue
		}
		e.paid = s.now
		e.part.Earn(s.share(), s.now)
		s.pay(e, true)
	}
}

// fraction returns the fraction of the entries that use the pool at an entry.
func (s *simulated) fraction(pool *simulatedEntry) float64 {
	if s.allUse {
		return 1
	}
	return pool.users.Fraction(len(s.entries), testInterval, s.now)
}

// pay gives an entry's payment to its pool, or loses it.
func (s *simulated) pay(e *simulatedEntry, arrives bool) {
	payment := e.part.Pay()
	if arrives {
		pool := s.entries[e.poolOf]
		pool.users.Heard(e.name, s.now)
		pool.pool.Receive(payment, s.share(), s.fraction(pool), s.now)
	}
	if arrives && s.undoWhenSent {
		e.part.Undo(s.share(), payment)
	}
}

// ask has an entry decide on a request. Some of the allowed requests do not run.
func (s *simulated) ask(e *simulatedEntry, cost float64, notRun bool) bool {
	if s.now < e.paused {
		return false
	}
	s.asked++
	e.part.Earn(s.share(), s.now)
	ok := e.part.Take(cost)
	if !ok {
		s.pay(e, true)
		ok, _ = s.entries[e.poolOf].pool.Withdraw(cost, s.share(), s.fraction(s.entries[e.poolOf]), s.now)
	}
	if !ok {
		s.refused++
		return false
	}
	s.log = append(s.log, &allowed{at: s.now, cost: cost, ran: !notRun})
	if notRun {
		known := s.now + testBounds.Window // the longest wait
		s.returns = append(s.returns, handedBack{entry: e, cost: cost, at: known})
	}
	return true
}

// handBack hands the costs back of which it is known by now that they are not owed.
func (s *simulated) handBack() {
	s.returns = slices.DeleteFunc(s.returns, func(h handedBack) bool {
		if h.at > s.now {
			return false
		}
		h.entry.part.Return(h.cost)
		return true
	})
}

// mostInWindow returns the highest cost of the requests that ran in a window since a time.
func (s *simulated) mostInWindow(since time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for i, a := range s.log {
		if a.at < since || !a.ran {
			continue
		}
		sum += a.cost
		for ; first < i && s.log[first].at <= a.at-testBounds.Window; first++ {
			if s.log[first].ran && s.log[first].at >= since {
				sum -= s.log[first].cost
			}
		}
		most = max(most, sum)
	}
	return most
}

// bound returns the cost that may run within a window.
func bound(l Limit) float64 {
	b := testBounds
	return (l.PerSecond*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

// disturb brings one random failure about.
func (s *simulated) disturb() {
	e := s.entries[s.rnd.IntN(len(s.entries))]
	switch s.rnd.IntN(6) {
	case 0: // frozen, or suspended
		e.paused = s.now + time.Duration(s.rnd.Int64N(int64(10*time.Second)))
	case 1: // restarted
		*e = simulatedEntry{name: e.name, poolOf: e.poolOf, paid: s.now}
	case 2: // a message is lost
		s.pay(e, false)
	case 3: // split
		second, parts := s.rnd.IntN(len(s.entries)), 2+s.rnd.IntN(3)
		for i, other := range s.entries {
			if i%parts == 0 {
				other.poolOf = second
			}
		}
	case 4: // reunited
		pool := s.rnd.IntN(len(s.entries))
		for _, other := range s.entries {
			other.poolOf = pool
		}
	case 5: // the clock goes back
		e.part.Earn(s.share(), s.now-time.Second)
	}
}

// overload sends many times the quota for a while, with failures.
func (s *simulated) overload(d time.Duration, disturbed bool) {
	for end := s.now + d; s.now < end; s.step() {
		if disturbed && s.rnd.IntN(20) == 0 {
			s.disturb()
		}
		for range s.rnd.IntN(8) {
			cost := 200.0
			if s.rnd.IntN(2) == 0 {
				cost = 3000 + 8000*s.rnd.Float64()
			}
			s.ask(s.entries[s.rnd.IntN(len(s.entries))], cost, s.rnd.Float64() < s.notRun)
		}
	}
}

// rest lets time pass without requests.
func (s *simulated) rest(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step()
	}
}
