package orders

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/fleet"
)

// TestHandoverIncludesLoadInProgress releases the lease during a load. The next
// lease holder, which reads the handover, must not order the same model from the
// other server.
func TestHandoverIncludesLoadInProgress(t *testing.T) {
	r := newRig(t, serverWith("s1"), serverWith("s2"))
	r.start()
	r.planUntil("the load of m1 begins", func() bool { return len(r.control.accepted) == 1 })
	assert.NilError(t, r.manager.Close(context.Background()))

	next := r.newManager("b")
	step(t, next.lease)
	for range 5 {
		r.clock.add(100 * time.Millisecond)
		next.plan(context.Background())
		next.mu.Lock()
		next.waitCallsLocked()
		next.mu.Unlock()
	}
	r.control.mu.Lock()
	defer r.control.mu.Unlock()
	assert.Equal(t, len(r.control.accepted), 1, "%+v", r.control.accepted)
	assert.Equal(t, r.control.accepted[0].Kind, fleet.OrderLoad)
}

// planUntil runs planning passes until condition holds. condition is called with the
// control locked.
func (r *rig) planUntil(what string, condition func() bool) {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		r.manager.plan(context.Background())
		r.control.mu.Lock()
		defer r.control.mu.Unlock()
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	})
}
