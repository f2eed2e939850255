package orders

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/fleet"
)

// TestHandoverNamesTheLoadInProgress releases the lease during a load. The next
// holder, which hears of it, must not order the model at the other server.
func TestHandoverNamesTheLoadInProgress(t *testing.T) {
	r := newRig(t, serverWith("s1"), serverWith("s2"))
	r.start()
	r.awaitOrder("the load of m1 begins", func() bool { return len(r.control.accepted) == 1 })
	assert.NilError(t, r.keeper.Close(context.Background()))

	next := r.newKeeper("b")
	step(t, next.lease)
	for range 5 {
		r.clock.add(100 * time.Millisecond)
		next.plan(context.Background())
		next.mu.Lock()
		next.settleLocked()
		next.mu.Unlock()
	}
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	assert.Equal(t, len(r.control.accepted), 1, "%+v", r.control.accepted)
	assert.Equal(t, r.control.accepted[0].Kind, fleet.OrderLoad)
}

// awaitOrder plans until a condition on the control's record holds.
func (r *rig) awaitOrder(what string, holds func() bool) {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		r.keeper.plan(context.Background())
		r.control.mu.Lock()
		defer r.control.mu.Unlock()
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	})
}
