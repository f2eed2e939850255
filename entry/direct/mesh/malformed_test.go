package mesh

import (
	"context"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/rpc"
)

// TestMalformedUpdateEndsTheProcess applies updates of a peer that keeps none of the rules.
// Nothing may panic, and no load may become negative, which would attract all requests.
func TestMalformedUpdateEndsTheProcess(t *testing.T) {
	m := New(options(t, "a"))
	m.ctx = context.Background()
	peer := &rpc.Peer{Identity: rpc.Identity{Name: "b", RPCAddress: "b:1"}}
	l := newLink(peer, true, testStart)
	m.links["b"] = l
	for _, u := range []update{
		{Load: [][4]int{{7, 1, 1, 1}}, Removed: []int{-1, 9}},
		{Servers: map[string]int{"s": -3, "": 0}, Load: [][4]int{{-3, -5, -100, math.MinInt}, {0, 1, 1, 1}}},
		{Load: [][4]int{{-3, math.MaxInt, math.MaxInt, math.MaxInt}, {0, math.MaxInt, math.MaxInt, math.MaxInt}}},
		{Servers: map[string]int{"s": 0}, NextMS: math.MinInt64},
		{NextMS: math.MaxInt64, Left: []string{"", "b", "nobody"}, Joined: []Identity{{}, {Name: "a", Address: "x"}, {Name: "c"}}},
		{Documents: map[string]documentVersion{"k": {Version: -1, AgeMS: math.MinInt64}}},
		{Aggregator: "nobody"}, {Aggregator: "a"}, {Aggregator: "b"},
	} {
		_, err := m.handleUpdate(t.Context(), peer, u)
		assert.NilError(t, err)
		m.composeUpdate(l)
		for id, sum := range m.Loads() {
			assert.Assert(t, sum.Requests >= 0 && sum.Prefill >= 0 && sum.Memory >= 0, "%s: %+v after %+v", id, sum, u)
		}
		timeout := peerTimeout(l.peerInterval)
		assert.Assert(t, timeout >= silenceTimeout && timeout <= maxMissedHeartbeats*maxAnnounced, "%v", timeout)
	}
}
