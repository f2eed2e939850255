package balance

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/fleet"
)

// newTestBalancer returns a balancer of one model service with the given loaded
// models by server ID, and a counter of the calls to Ensure. Every call returns
// answer as the server ID.
func newTestBalancer(t *testing.T, loaded map[string][]fleet.Resident, answer string) (*Balancer, *atomic.Int64) {
	t.Helper()
	calls := &atomic.Int64{}
	b := New(Options{
		Zone:    "a",
		Regions: map[string]string{"a": "r"},
		Budget:  Budget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Ensure: func(context.Context, orders.EnsureRequest) (string, error) {
			calls.Add(1)
			return answer, nil
		},
	})
	engine := &fleet.Engine{Slots: 64, KVTokens: 240_000, WeightsMB: 200_000, AdapterSlots: 8, Models: map[string]fleet.Model{
		"m": {Name: "m", WeightsMB: 60_000, Adapters: 9, Load: time.Second},
	}}
	v := &fleet.View{Config: &fleet.Config{Services: map[string]*fleet.Service{"llm": {Name: "llm", Engine: engine}}}}
	for id, residents := range loaded {
		v.Servers = append(v.Servers, fleet.Server{ID: id, Service: "llm", Address: "10.0.0.1:80", Zone: "a", Slots: 64, Residents: residents})
	}
	b.Update(v)
	return b, calls
}

func query(adapter string, exclude ...string) Query {
	now := time.Now()
	return Query{
		Service:  "llm",
		Request:  &fleet.Request{ID: "1", Model: "m", Adapter: adapter, TokensIn: 1000, TokensOut: 20},
		Route:    &fleet.Route{Name: "r", Objective: time.Minute, Stream: true, MaxAttempts: 2},
		Arrived:  now,
		Deadline: now.Add(time.Hour),
		Exclude:  exclude,
	}
}

// admitWhile calls Admit until it returns or done reports true. It returns the
// ticket, or nil if the request was still queued.
func admitWhile(b *Balancer, q Query, done func() bool) *Ticket {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	got := make(chan *Ticket, 1)
	go func() {
		t, _ := b.Admit(ctx, q)
		got <- t
	}()
	for !done() {
		select {
		case t := <-got:
			return t
		default:
			b.dispatchAll()
		}
	}
	cancel()
	return <-got
}

// An Ensure call that returns no usable server must not be repeated immediately:
// the entry would be busy with nothing else.
func TestEnsureBacksOffWhenNoUsableServerHasTheModel(t *testing.T) {
	b, calls := newTestBalancer(t, map[string][]fleet.Resident{"s1": nil}, "gone")
	checks, start := 0, time.Now()
	ticket := admitWhile(b, query(""), func() bool {
		checks++
		return checks > 20_000 && calls.Load() > 0
	})
	assert.Assert(t, ticket == nil)
	// The delays between calls are 80, 160, 320 and then 640 ms.
	maxCalls := 5 + int64(time.Since(start)/maxEnsureBackoff)
	assert.Assert(t, calls.Load() <= maxCalls, "%d calls in %d checks, want at most %d", calls.Load(), checks, maxCalls)
}

func TestOnlyServerWithTheModelIsRetriedAfterItsFailure(t *testing.T) {
	b, calls := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}, "s2": nil}, "s1")
	ticket := admitWhile(b, query("", "s1"), func() bool { return false })
	assert.Equal(t, ticket.Server.ID, "s1")
	assert.Equal(t, calls.Load(), int64(0))
	ticket.End()
}

func TestRetryGoesToAnotherServerWithTheModel(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}, "s2": {{Model: "m"}}}, "")
	for range 20 {
		ticket := admitWhile(b, query("", "s1"), func() bool { return false })
		assert.Equal(t, ticket.Server.ID, "s2")
		ticket.End()
	}
}

func TestMissingAdapterIsLoadedAndServed(t *testing.T) {
	b, calls := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "s1")
	ticket := admitWhile(b, query("a1"), func() bool { return false })
	assert.Equal(t, ticket.Server.ID, "s1")
	assert.Equal(t, calls.Load(), int64(1))
	ticket.End()
}

func TestServerThatDeclinedForLackOfTheModelIsAvoided(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}, "s2": {{Model: "m"}}}, "")
	first := admitWhile(b, query(""), func() bool { return false })
	first.Declined(fleet.Outcome{Misdirected: true})
	first.End()
	for range 20 {
		ticket := admitWhile(b, query(""), func() bool { return false })
		assert.Assert(t, ticket.Server.ID != first.Server.ID)
		ticket.End()
	}
}

// TestAddressOfAnotherServerIsTriedAgainAndAgain has another process answer at the address of the
// only server, whose registration stays as it is and then changes.
func TestAddressOfAnotherServerIsTriedAgainAndAgain(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "")
	ticket := admitWhile(b, query(""), func() bool { return false })
	ticket.Declined(fleet.Outcome{Misdirected: true, AnsweredBy: "s9"})
	ticket.End()
	b.mu.Lock()
	p := b.pools["llm"]
	s := p.servers["s1"]
	later := time.Now().Add(replacedTTL - time.Second)
	usable := s.usable(later)
	registered := s.Server
	registered.Registration++
	s.applyRegistration(&registered, p.engine)
	usableAgain := s.usable(time.Now())
	b.mu.Unlock()
	assert.Assert(t, !usable)
	assert.Assert(t, usableAgain)
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}, "s2": {{Model: "m"}}}, "")
	b.mu.Lock()
	p := b.pools["llm"]
	b.mu.Unlock()
	v := &fleet.View{Config: &fleet.Config{Services: map[string]*fleet.Service{"llm": {Name: "llm", Engine: p.engine}}}}
	for _, s := range p.order {
		registered := s.Server
		registered.Draining = registered.ID == "s1"
		v.Servers = append(v.Servers, registered)
	}
	b.Update(v)
	for range 20 {
		ticket := admitWhile(b, query(""), func() bool { return false })
		assert.Equal(t, ticket.Server.ID, "s2")
		ticket.End()
	}
}

// A search for another server that finds none must leave no trace: it is repeated
// several times a second for each request of a silent server.
func TestVainSearchForSuccessorIsNoDemand(t *testing.T) {
	b, calls := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}, "s2": nil}, "s2")
	first := admitWhile(b, query(""), func() bool { return false })
	defer first.End()
	q := query("", "s1")
	q.Successor = true
	q.Arrived = q.Arrived.Add(-time.Hour) // too late to wait for a server
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go b.Run(ctx)
	for range 5 {
		ticket, rejected := b.Admit(ctx, q)
		assert.Assert(t, ticket == nil)
		assert.Assert(t, !rejected.Canceled)
	}
	demand := b.TakeDemand()
	assert.Equal(t, len(demand), 1)
	assert.Equal(t, demand[0].Arrivals, 1)
	assert.Equal(t, demand[0].Refused, 0)
	assert.Equal(t, calls.Load(), int64(0))
}

// TestServerThatRefusedTheConnectionIsOfferedAgain has one server with the model: it is
// offered again to a request that it failed, and not to one whose connection it refused.
func TestServerThatRefusedTheConnectionIsOfferedAgain(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "")
	ticket, rejected := b.Admit(t.Context(), query("", "s1"))
	assert.Assert(t, rejected == nil)
	ticket.End()
	q := query("")
	q.Gone = []string{"s1"}
	q.Deadline = time.Now().Add(time.Second)
	q.Route.Objective = 100 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	ticket, _ = b.Admit(ctx, q)
	assert.Assert(t, ticket == nil)
}

// TestCanceledRequestIsNotDispatched admits requests whose wait has been canceled while a
// server is free at once. Of the two, which are both ready, the end of the wait must count.
func TestCanceledRequestIsNotDispatched(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "s1")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		ticket, rejected := b.Admit(ctx, query(""))
		assert.Assert(t, ticket == nil)
		assert.Assert(t, rejected.Canceled)
	}
	ticket, _ := b.Admit(t.Context(), query(""))
	assert.Equal(t, ticket.Running, 0, "a ticket was not given back")
	ticket.End()
}
