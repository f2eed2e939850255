package balance

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/fleet"
)

const (
	oldSoftware = "v1"
	newSoftware = "v2"
)

// newSoftwareBalancer returns a balancer whose server s1 has software version s1Software
// and no model, and whose server s2 has newSoftware and model m. Requests passed to Ensure
// are sent to the channel; Ensure then answers s1.
func newSoftwareBalancer(t *testing.T, s1Software string) (*Balancer, <-chan orders.EnsureRequest) {
	t.Helper()
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": nil, "s2": {{Model: "m"}}}, "s1")
	calls := make(chan orders.EnsureRequest, 100)
	b.opts.Ensure = func(_ context.Context, q orders.EnsureRequest) (string, error) {
		calls <- q
		return "s1", nil
	}
	v := currentView(b)
	v.Servers[0].Software, v.Servers[1].Software = s1Software, newSoftware
	b.Update(v)
	return b, calls
}

func boundQuery(deadline time.Duration) Query {
	q := query("")
	q.Software = oldSoftware
	q.Deadline = q.Arrived.Add(deadline)
	return q
}

// TestBoundRequestHasItsModelLoadedAtItsVersion binds a request to the version of s1.
func TestBoundRequestHasItsModelLoadedAtItsVersion(t *testing.T) {
	b, calls := newSoftwareBalancer(t, oldSoftware)
	ticket := admitWhile(b, boundQuery(time.Minute), func() bool { return false })
	assert.Equal(t, ticket.Server.ID, "s1")
	assert.DeepEqual(t, <-calls, orders.EnsureRequest{Service: "llm", Model: "m", Software: oldSoftware})
	ticket.End()
	demand := b.TakeDemand()
	assert.Equal(t, len(demand), 1)
	assert.DeepEqual(t, demand[0].Bound, []string{oldSoftware})
	assert.Equal(t, len(b.TakeDemand()[0].Bound), 0, "no request came since")
}

// TestBoundRequestIsRefusedForTheTimeOfTheLoad has less time left than the load takes.
func TestBoundRequestIsRefusedForTheTimeOfTheLoad(t *testing.T) {
	const load = 10 * time.Second
	b, calls := newSoftwareBalancer(t, oldSoftware)
	m := b.pools["llm"].engine.Models["m"]
	m.Load = load
	b.pools["llm"].engine.Models["m"] = m
	ticket, rejected := b.Admit(t.Context(), boundQuery(load/2))
	assert.Assert(t, ticket == nil)
	assert.Assert(t, rejected.Expected >= load, "%v", rejected.Expected)
	assert.Assert(t, rejected.RetryAfter > load/8, "%v", rejected.RetryAfter) // clients heed a third of the time left
	assert.Equal(t, (<-calls).Software, oldSoftware)
	assert.Equal(t, b.TakeDemand()[0].Refused, 1)
}

// TestBoundRequestIsRefusedWithoutServerOfItsVersion has no server of the version, or only
// a draining one.
func TestBoundRequestIsRefusedWithoutServerOfItsVersion(t *testing.T) {
	for name, s1Software := range map[string]string{"none": newSoftware, "draining": oldSoftware} {
		t.Run(name, func(t *testing.T) {
			b, calls := newSoftwareBalancer(t, s1Software)
			v := currentView(b)
			v.Servers[0].Draining = true
			b.Update(v)
			q := boundQuery(time.Minute)
			q.Route.Objective = time.Second
			go b.Run(t.Context())
			start := time.Now()
			ticket, rejected := b.Admit(t.Context(), q)
			assert.Assert(t, ticket == nil && rejected.NotLoaded)
			assert.Assert(t, time.Since(start) < q.Route.Objective, "%v", time.Since(start))
			assert.Equal(t, len(calls), 0)
		})
	}
}

// TestLoadIsUnboundWhileOneVersionIsInUse binds requests to the only version in use, of
// which no server has the model.
func TestLoadIsUnboundWhileOneVersionIsInUse(t *testing.T) {
	b, calls := newSoftwareBalancer(t, oldSoftware)
	v := currentView(b)
	v.Servers = v.Servers[:1]
	b.Update(v)
	ticket := admitWhile(b, boundQuery(time.Minute), func() bool { return false })
	assert.Equal(t, ticket.Server.ID, "s1")
	assert.Equal(t, (<-calls).Software, "")
	ticket.End()
}

// TestBoundRequestIsRefusedOnceThereIsNoRoom has the lease holder find no room for the model
// at the request's version. Requests that come then are refused, until Ensure returns s1.
func TestBoundRequestIsRefusedOnceThereIsNoRoom(t *testing.T) {
	b, _ := newSoftwareBalancer(t, oldSoftware)
	var room atomic.Bool
	b.opts.Ensure = func(context.Context, orders.EnsureRequest) (string, error) {
		if room.Load() {
			return "s1", nil
		}
		return "", fault.New(fault.KindRefused, "orders.ensure", "llm", orders.ErrNoRoom)
	}
	q := boundQuery(time.Minute)
	q.Route.Objective = time.Second
	go b.Run(t.Context())
	for range 2 {
		q.Arrived = time.Now()
		ticket, rejected := b.Admit(t.Context(), q)
		assert.Assert(t, ticket == nil && rejected.NotLoaded)
		assert.Assert(t, time.Since(q.Arrived) < q.Route.Objective, "%v", time.Since(q.Arrived))
	}
	room.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		q.Arrived = time.Now()
		if ticket, _ := b.Admit(t.Context(), q); ticket != nil {
			ticket.End()
			return poll.Success()
		}
		return poll.Continue("refused")
	})
}
