package mesh

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPeersAreNotBlamedForOwnSleep(t *testing.T) {
	m := New(options(t, "a"))
	l := &link{id: Identity{Name: "b", Address: "b:1"}, heard: start0, kick: make(chan struct{}, 1)}
	m.links["b"] = l
	look := func(at time.Duration) int {
		lost, _ := m.step(context.Background(), start0.Add(at))
		return len(lost)
	}
	assert.Equal(t, look(0), 0)
	assert.Equal(t, look(5*time.Second), 0, "this process slept")
	assert.Equal(t, look(5*time.Second+secondLook), 1, "what had arrived was read, and nothing of the peer was among it")
}
