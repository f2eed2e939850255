package admit

import (
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/routing"
)

// fakePool returns the same server for every pool.
type fakePool struct {
	server routing.Server
}

func (p *fakePool) Candidates(string, *config.Served, []uint64) []routing.Candidate {
	s := p.server
	return []routing.Candidate{{Server: &s}}
}

func newTestAdmitter(p *fakePool) *Admitter {
	holder := config.NewHolder()
	holder.Offer(&config.Configuration{Version: 1, Teams: []config.Team{{Name: "shop", Concurrency: 2}, {Name: "till"}}})
	return New(Options{Pool: p, Holder: holder, Costs: routing.DefaultCosts, Log: logrus.New()})
}

func request(team string) dispatch.Request {
	return dispatch.Request{Team: team, Pool: "p", Deadline: time.Now().Add(time.Hour), Idempotent: true}
}

func TestTeamConcurrencyIsLimitedAndReleased(t *testing.T) {
	a := newTestAdmitter(&fakePool{server: routing.Server{Serving: true}})
	ctx := context.Background()
	release, f := a.Admit(ctx, request("shop"))
	assert.Assert(t, f == nil)
	_, f = a.Admit(ctx, request("shop"))
	assert.Assert(t, f == nil)
	_, f = a.Admit(ctx, request("shop"))
	assert.Equal(t, f.Outcome, wire.OutcomeNotRun)
	assert.Assert(t, f.RetryAfter > 0)
	_, f = a.Admit(ctx, request("till"))
	assert.Assert(t, f == nil, "the limit of one team does not affect another")
	release()
	release()
	_, f = a.Admit(ctx, request("shop"))
	assert.Assert(t, f == nil)
	_, f = a.Admit(ctx, request("shop"))
	assert.Assert(t, f != nil, "a second call of release has no effect")
}

func TestRejectionOfAKeyedActionHasOutcomeUnknown(t *testing.T) {
	a := newTestAdmitter(&fakePool{server: routing.Server{Serving: true, QueueDelay: 2 * time.Hour}})
	req := request("till")
	_, f := a.Admit(context.Background(), req)
	assert.Equal(t, f.Outcome, wire.OutcomeNotRun)
	req.Key = "k"
	_, f = a.Admit(context.Background(), req)
	assert.Equal(t, f.Outcome, wire.OutcomeUnknown)
}

func TestLoadTimeDoesNotRejectTheRequestThatCausesTheLoad(t *testing.T) {
	for _, served := range []*config.Served{nil, {Bytes: 1}} {
		a := newTestAdmitter(&fakePool{server: routing.Server{Serving: true}})
		req := request("till")
		req.Served = served
		req.Deadline = time.Now().Add(routing.DefaultCosts.ModelLoad / 2)
		_, f := a.Admit(context.Background(), req)
		assert.Assert(t, f == nil)
	}
}

func TestQueuedRequestIsAdmittedOrRejected(t *testing.T) {
	p := &fakePool{server: routing.Server{Serving: true, InFlight: 4, Limit: 4}}
	a := newTestAdmitter(p)
	verdict, first := a.decide(request("shop"), time.Now())
	assert.Equal(t, verdict.Reason, "servers at their limit")
	_, second := a.decide(request("till"), time.Now())
	a.processQueue(time.Now())
	assert.Equal(t, len(first.verdictCh)+len(second.verdictCh), 0)

	p.server.InFlight = 3
	a.processQueue(time.Now())
	assert.Equal(t, len(first.verdictCh)+len(second.verdictCh), 1, "there is free capacity for one request")

	p.server.InFlight = 4
	a.processQueue(time.Now().Add(2 * time.Hour))
	assert.Equal(t, len(first.verdictCh)+len(second.verdictCh), 2, "the deadline has passed, so the request is rejected")
}

func TestDisconnectedCallerIsRemovedFromTheQueue(t *testing.T) {
	a := newTestAdmitter(&fakePool{server: routing.Server{Serving: true, InFlight: 4, Limit: 4}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, f := a.Admit(ctx, request("shop"))
	assert.Assert(t, f != nil)
	assert.Equal(t, a.queue.Len(), 0)
	assert.Equal(t, a.teams["shop"].inFlight, 0)
}
