package planner

import (
	"context"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/rpc"
)

// fakeSide is a side process that replies to inventory queries.
type fakeSide struct {
	mu    sync.Mutex
	reply rpc.InventoryReply
	sent  []rpc.InventoryReply
}

func (v *fakeSide) handle(_ context.Context, _ *rpc.Peer, q rpc.InventoryQuery) (rpc.InventoryReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sent = append(v.sent, v.reply.For(q))
	return v.reply.For(q), nil
}

func (v *fakeSide) setResidents(digest uint64, names ...string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.reply = rpc.InventoryReply{Residence: digest}
	for _, name := range names {
		a := wire.Artifact{Kind: wire.KindModel, Name: name, Version: "1"}
		v.reply.Residents = append(v.reply.Residents, engine.Resident{Artifact: a, Bytes: 1})
	}
}

func TestResidentsAreSentOnlyAfterAChange(t *testing.T) {
	side := &fakeSide{}
	handlers := rpc.NewHandlers()
	rpc.Handle(handlers, rpc.MethodInventory, side.handle)
	server := rpc.NewServer(rpc.Local{Identity: rpc.Identity{Name: "side-1"}, Key: "k"}, handlers, nil)
	assert.NilError(t, server.Start("127.0.0.1:0"))
	defer func() { _ = server.Stop() }()
	peer, err := rpc.Dial(context.Background(), server.Address(), rpc.Local{Key: "k"}, rpc.NewHandlers())
	assert.NilError(t, err)
	p := New(Options{Servers: func() []Server { return []Server{{Name: "side-1", Serving: true, Peer: peer}} }})
	query := func() []engine.Resident {
		views := p.queryInventories(context.Background(), shard{workers: []string{"side-1"}})
		assert.Assert(t, views[0].ok)
		return views[0].inventory.Residents
	}
	side.setResidents(7, "a", "b")
	first := query()
	assert.DeepEqual(t, query(), first)
	assert.Equal(t, len(first), 2)
	assert.Equal(t, len(side.sent[1].Residents), 0)
	side.setResidents(8, "c")
	assert.Equal(t, query()[0].Artifact.Name, "c")
	p.dropReplies(nil)
	assert.Equal(t, len(p.lastReplies), 0)
}
