package front

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/fleet"
)

const testService = "till"

// newTestFront returns a Front for one plain service with two servers, whose balancer
// runs until the test ends.
func newTestFront(t *testing.T) *Front {
	t.Helper()
	b := balance.New(balance.Options{Budget: balance.Budget{Slack: 10, Window: time.Minute}})
	v := &fleet.View{Config: &fleet.Config{Services: map[string]*fleet.Service{testService: {Name: testService}}}}
	for _, id := range []string{"s1", "s2"} {
		v.Servers = append(v.Servers, fleet.Server{ID: id, Service: testService, Address: "10.0.0.1:80", Slots: 8})
	}
	b.Update(v)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { b.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return New(Options{Balancer: b, Log: decisionlog.New(decisionlog.Options{Out: io.Discard})})
}

// newTestRun returns the run of a request that may be retried.
func newTestRun(f *Front) *run {
	req := &request{
		Request: fleet.Request{ID: "1"},
		arrived: time.Now(),
		route:   &fleet.Route{Name: "r", RetryPolicy: fleet.RetryAlways, Timeout: time.Minute, MaxAttempts: 2},
		service: testService,
	}
	return &run{f: f, req: req, record: newRecord(f.opts.Log, req, &fleet.View{Config: &fleet.Config{}})}
}

// newTestAttempt returns an attempt of the run at a server other than the excluded ones.
func newTestAttempt(t *testing.T, r *run, exclude ...string) *attempt {
	t.Helper()
	q := r.query()
	q.Exclude = exclude
	ticket, rejected := r.f.opts.Balancer.Admit(t.Context(), q)
	assert.Assert(t, rejected == nil)
	return newAttempt(t.Context(), ticket, 1, &fleet.View{})
}

// TestWithdrawnAttemptTakesNothingOver withdraws the attempt at the other server at the
// moment at which its answer begins. The attempt at the silent server must go on.
func TestWithdrawnAttemptTakesNothingOver(t *testing.T) {
	r := newTestRun(newTestFront(t))
	a := newTestAttempt(t, r)
	defer a.end()
	other := newTestAttempt(t, r, a.ticket.Server.ID)
	a.watch = r.watch(t.Context(), a)
	a.watch.phase, a.watch.cancelPhase = phaseSending, other.cancel
	other.answer = &exchange.Response{Status: http.StatusOK, Body: http.NoBody}

	other.cancel()
	a.watch.finishSending(other, nil)

	assert.NilError(t, a.ctx.Err())
	assert.NilError(t, a.watch.claim())
}

// TestLateWithdrawalCancelsNoSuccessor ends the patience with the other server just after
// that server has taken the request over. Its attempt must go on.
func TestLateWithdrawalCancelsNoSuccessor(t *testing.T) {
	r := newTestRun(newTestFront(t))
	a := newTestAttempt(t, r)
	defer a.end()
	other := newTestAttempt(t, r, a.ticket.Server.ID)
	a.watch = r.watch(t.Context(), a)
	a.watch.phase, a.watch.cancelPhase = phaseSending, other.cancel
	other.answer = &exchange.Response{Status: http.StatusOK, Body: http.NoBody}

	a.watch.finishSending(other, nil)
	a.watch.withdraw()

	assert.NilError(t, other.ctx.Err())
	assert.ErrorIs(t, a.watch.claim(), errSuperseded)
}

// TestSlowAnswerIsNotSilence has a server send an answer slowly, without a whole event.
func TestSlowAnswerIsNotSilence(t *testing.T) {
	r := newTestRun(newTestFront(t))
	a := newTestAttempt(t, r)
	defer a.end()
	w := r.watch(t.Context(), a)
	a.watch = w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = 0 // the timer seeks no other server
	for a.ticket.Silence() < stallAfter {
		time.Sleep(time.Millisecond)
	}
	w.last = time.Now().Add(-time.Hour)
	w.received = time.Now
	assert.Assert(t, !w.isSilent())
	w.received = func() time.Time { return w.last }
	assert.Assert(t, w.isSilent())
}
