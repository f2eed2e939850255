package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/routing"
)

func TestClosedLinkKeepsRequestsInTheRegionThatServes(t *testing.T) {
	near := &routing.Server{Region: "north", Serving: true}
	far := &routing.Server{Region: "south", Serving: true}
	p := &Pool{opts: Options{Region: "north"}}
	p.keepInRegion([]routing.Candidate{{Server: near}, {Server: far}})
	assert.Assert(t, near.Serving && !far.Serving)

	near.Serving, far.Serving = false, true
	p.keepInRegion([]routing.Candidate{{Server: near}, {Server: far}})
	assert.Assert(t, far.Serving, "the only server left stays reachable")
}
