package mesh

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPeersAreKeptAfterLatePass(t *testing.T) {
	m := New(options(t, "a"))
	l := &link{id: Identity{Name: "b", Address: "b:1"}, lastReceived: testStart, wakeup: make(chan struct{}, 1)}
	m.links["b"] = l
	runPass := func(at time.Duration) int {
		silent, _ := m.runPass(context.Background(), testStart.Add(at))
		return len(silent)
	}
	assert.Equal(t, runPass(0), 0)
	assert.Equal(t, runPass(5*time.Second), 0, "the pass was late because this process was paused")
	assert.Equal(t, runPass(5*time.Second+latePassRecheck), 1, "pending messages were read, but none came from the peer")
}
