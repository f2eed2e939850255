package pool

import (
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/routing"
)

func TestOwnRegionIsPreferredWhileItServes(t *testing.T) {
	near := &routing.Server{Region: "north", Serving: true}
	far := &routing.Server{Region: "south", Serving: true}
	p := &Pool{opts: Options{Region: "north"}}
	p.preferOwnRegion([]routing.Candidate{{Server: near}, {Server: far}})
	assert.Assert(t, near.Serving && !far.Serving)

	near.Serving, far.Serving = false, true
	p.preferOwnRegion([]routing.Candidate{{Server: near}, {Server: far}})
	assert.Assert(t, far.Serving, "the only serving server stays available")
}
