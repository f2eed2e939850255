package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// currentView returns the view of newTestBalancer, with its servers.
func currentView(b *Balancer) *fleet.View {
	v := viewOf(b)
	for _, s := range b.pools["llm"].order {
		v.Servers = append(v.Servers, s.Server)
	}
	return v
}

// admitDuring queues a request while no server can be reached, applies a change to the view, and
// returns the request's ticket once the servers can be reached again.
func admitDuring(t *testing.T, b *Balancer, change func(v *fleet.View)) *Ticket {
	t.Helper()
	for _, exclude := range []string{"s1", "s2"} {
		down := admitWhile(b, query("", exclude), func() bool { return false })
		down.Unreachable()
		down.End()
	}
	v := currentView(b)
	change(v)
	admitted := make(chan *Ticket)
	go func() {
		ticket, _ := b.Admit(t.Context(), query(""))
		admitted <- ticket
	}()
	for b.Waiting() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.Update(v)
	go b.Run(t.Context())
	ticket := <-admitted
	assert.Assert(t, ticket != nil)
	ticket.End()
	return ticket
}

// TestQueuedRequestReachesLeavingServer lets the first server leave while a request is queued.
func TestQueuedRequestReachesLeavingServer(t *testing.T) {
	for name, change := range map[string]func(v *fleet.View){
		"registration": func(v *fleet.View) { v.Servers[0].Draining = true },
		"answer":       func(v *fleet.View) { v.Servers[0].Draining, v.Servers[0].Leaving = true, true },
		"service left the configuration": func(v *fleet.View) {
			v.Servers[0].Draining = true
			v.Config = &fleet.Config{}
		},
		"gone": func(v *fleet.View) { v.Servers = v.Servers[1:] },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}, "s2": {{Model: "m"}}}, "")
			assert.Equal(t, admitDuring(t, b, change).Server.ID, "s2")
		})
	}
}

// TestLeavingServerIsLastResort lets all servers leave, one of which is registered as draining.
func TestLeavingServerIsLastResort(t *testing.T) {
	b, _ := newTestBalancer(t, map[string][]fleet.Resident{"s1": {{Model: "m"}}, "s2": {{Model: "m"}}}, "s3")
	b.opts.Drain = 400 * time.Millisecond
	v := currentView(b)
	v.Servers[0].Draining = true
	v.Servers[1].Draining, v.Servers[1].Leaving, v.Servers[1].LeavingSince = true, true, time.Now()
	b.Update(v)
	for range 5 {
		ticket := admitWhile(b, query(""), func() bool { return false })
		assert.Equal(t, ticket.Server.ID, "s2")
		ticket.End()
	}
	time.Sleep(b.opts.Drain) // longer than its share
	ended := time.Now()
	assert.Assert(t, admitWhile(b, query(""), func() bool { return time.Since(ended) > 50*time.Millisecond }) == nil)
}
