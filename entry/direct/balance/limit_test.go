package balance

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

var oneASecond = fleet.Outcome{NamesLimit: true, RateLimit: 1}

// sendTo admits a request, whose answer begins at once, and returns its ticket.
func sendTo(t *testing.T, b *Balancer) *Ticket {
	t.Helper()
	started := time.Now()
	ticket := admitWhile(b, query(""), func() bool { return time.Since(started) > 10*time.Second })
	assert.Assert(t, ticket != nil)
	ticket.Event()
	t.Cleanup(ticket.End)
	return ticket
}

// TestOvertakenAnswerLiftsNoLimit receives an answer without a limit whose request was sent
// before the limit was named.
func TestOvertakenAnswerLiftsNoLimit(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "")
	early, named := sendTo(t, b), sendTo(t, b)
	_, changed := named.Named(oneASecond)
	assert.Assert(t, changed)
	_, changed = early.Named(fleet.Outcome{})
	assert.Assert(t, !changed)
	assert.Equal(t, b.LimitedServers(), 1)
	time.Sleep(1100 * time.Millisecond) // until the limit allows a request
	l, changed := sendTo(t, b).Named(fleet.Outcome{})
	assert.Assert(t, changed && !l.Limited)
	assert.Equal(t, b.LimitedServers(), 0)
	assert.Equal(t, len(b.TakeLimitChanges()), 1)
	assert.Equal(t, len(b.TakeLimitChanges()), 0)
}

func TestAnswerOfOtherServerSetsNoLimit(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "")
	_, changed := sendTo(t, b).Named(fleet.Outcome{NotRun: true, Misdirected: true, NamesLimit: true, RateLimit: 1})
	assert.Assert(t, !changed)
}

// TestLimitIsForgottenWithItsProcess restarts a limited server under its ID.
func TestLimitIsForgottenWithItsProcess(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "")
	_, changed := sendTo(t, b).Named(oneASecond)
	assert.Assert(t, changed)
	v := viewOf(b)
	v.Servers = []fleet.Server{{ID: "s1", Born: 7, Service: "llm", Address: "10.0.0.1:80", Zone: "a", Slots: 64}}
	b.Update(v)
	assert.Equal(t, b.LimitedServers(), 0)
	assert.Equal(t, len(b.ApplyLimits([]ServerLimit{{Server: "s1", Limited: true, PerSecond: 1}})), 0) // of the process before
	assert.Equal(t, b.LimitedServers(), 0)
}

// TestLimitIsKnownBeforeItsServer receives a limit before the server's registration.
func TestLimitIsKnownBeforeItsServer(t *testing.T) {
	b, _ := newTestBalancer(t, nil, "")
	b.ApplyLimits([]ServerLimit{{Server: "s1", Born: 7, Limited: true, PerSecond: 1}})
	v := viewOf(b)
	v.Servers = []fleet.Server{{ID: "s1", Born: 7, Service: "llm", Address: "10.0.0.1:80", Zone: "a", Slots: 64}}
	b.Update(v)
	assert.Equal(t, b.LimitedServers(), 1)
}

func viewOf(b *Balancer) *fleet.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	engine := b.pools["llm"].engine
	return &fleet.View{Config: &fleet.Config{Services: map[string]*fleet.Service{"llm": {Name: "llm", Engine: engine}}}}
}

// TestPartsAddUpToTheLimit compares the parts of several entries.
func TestPartsAddUpToTheLimit(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "e9"}
	for perSecond, want := range map[float64]int{0.5: 4, 1: 5, 2.9: 6, 3: 7, 50: 9} {
		total, sharers := 0.0, 0
		for i, self := range names {
			b := New(Options{Name: self})
			b.SetPeers(slices.Concat(names[:i], names[i+1:]))
			part := b.part(&server{Server: fleet.Server{ID: "s1"}}, perSecond)
			total += part
			if part > 0 {
				sharers++
			}
		}
		assert.Equal(t, sharers, want)
		assert.Assert(t, total > 0.999 && total < 1.001)
	}
}

// TestLimitOutlastsItsRegistration lets the registration of a limited server lapse and come back.
func TestLimitOutlastsItsRegistration(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "")
	_, changed := sendTo(t, b).Named(oneASecond)
	assert.Assert(t, changed)
	v := viewOf(b)
	b.Update(v)
	assert.Equal(t, b.LimitedServers(), 0)
	v.Servers = []fleet.Server{{ID: "s1", Service: "llm", Address: "10.0.0.1:80", Zone: "a", Slots: 64}}
	b.Update(v)
	assert.Equal(t, b.LimitedServers(), 1)
}

// TestRequestThatLimitDelaysTooLongIsRejected asks for a model whose only server takes one request
// in five seconds.
func TestRequestThatLimitDelaysTooLongIsRejected(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "")
	_, changed := sendTo(t, b).Named(fleet.Outcome{NamesLimit: true, RateLimit: 0})
	assert.Assert(t, changed)
	q := query("")
	q.Deadline = q.Arrived.Add(3 * time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second) // before the request's deadline
	defer cancel()
	_, rejected := b.Admit(ctx, q)
	assert.Assert(t, rejected != nil)
	assert.Assert(t, !rejected.Canceled) // rejected at once
}

// TestRequestBehindTooManyOthersForLimitIsRejected queues as many requests for a limited server as
// it takes until their deadline.
func TestRequestBehindTooManyOthersForLimitIsRejected(t *testing.T) {
	const perSecond, deadline, tries = 0.2, time.Minute, 100
	const fit = 12 // of perSecond until the deadline
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}}, "")
	_, changed := sendTo(t, b).Named(fleet.Outcome{NamesLimit: true, RateLimit: perSecond})
	assert.Assert(t, changed)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second) // long before the deadline
	rejections := make(chan *Rejection, tries)
	var admitted sync.WaitGroup
	for range tries {
		admitted.Go(func() {
			q := query("")
			q.Deadline = q.Arrived.Add(deadline)
			ticket, rejected := b.Admit(ctx, q)
			if ticket != nil {
				ticket.End()
			}
			rejections <- rejected
		})
	}
	for range tries - fit - 1 {
		rejected := <-rejections
		assert.Assert(t, rejected != nil && !rejected.Canceled)
		assert.Assert(t, rejected.RetryAfter > 0)
	}
	cancel()
	admitted.Wait()
}
