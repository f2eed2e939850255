package planner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

// memTable is an in-memory store.Table.
type memTable struct {
	store.Table
	mu          sync.Mutex
	rows        map[string]store.Row
	version     int
	loseReplies bool // writes take effect, but return an error
}

func (m *memTable) Get(_ context.Context, key string) (store.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return row, fault.Newf(fault.KindNotFound, "get", "", "absent")
	}
	return row, nil
}

func (m *memTable) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	return m.CompareAndSet(ctx, key, "", value)
}

func (m *memTable) CompareAndSet(_ context.Context, key, version string, value []byte) (store.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rows[key].Version != version {
		return store.Row{}, fault.Newf(fault.KindConflict, "cas", "", "changed")
	}
	m.version++
	row := store.Row{Key: key, Value: value, Version: fmt.Sprint(m.version)}
	m.rows[key] = row
	if m.loseReplies {
		return store.Row{}, fault.Newf(fault.KindUnknown, "cas", "", "answer lost")
	}
	return row, nil
}

func newLeases(table store.Table, holders ...string) []*lease {
	var out []*lease
	for _, h := range holders {
		out = append(out, &lease{shard: "c", incarnation: h, table: table})
	}
	return out
}

func TestOneEntryHoldsALease(t *testing.T) {
	table := &memTable{rows: map[string]store.Row{}}
	l := newLeases(table, "a", "b")
	ctx := context.Background()
	assert.NilError(t, l[0].renewOrAcquire(ctx))
	assert.NilError(t, l[1].renewOrAcquire(ctx))
	_, first := l[0].held(time.Now())
	_, second := l[1].held(time.Now())
	assert.Assert(t, first && !second)
	_, later := l[0].held(time.Now().Add(leaseDuration - safetyMargin))
	assert.Assert(t, !later, "the lease holder stops before others may acquire the lease")
}

func TestExpiredLeaseIsAcquiredWithAHigherFencingToken(t *testing.T) {
	table := &memTable{rows: map[string]store.Row{}}
	l := newLeases(table, "a", "b")
	ctx := context.Background()
	assert.NilError(t, l[0].renewOrAcquire(ctx))
	assert.NilError(t, l[1].renewOrAcquire(ctx))
	l[1].firstSeenAt = time.Now().Add(-leaseDuration)
	assert.NilError(t, l[1].renewOrAcquire(ctx))
	fencingToken, ok := l[1].held(time.Now())
	assert.Assert(t, ok)
	assert.Equal(t, fencingToken, uint64(2))
	assert.NilError(t, l[0].renewOrAcquire(ctx))
	_, ok = l[0].held(time.Now())
	assert.Assert(t, !ok, "the previous lease holder has read its successor's row")
}

func TestWriteWithLostReplyIsRecognizedByTheNextRead(t *testing.T) {
	table := &memTable{rows: map[string]store.Row{}, loseReplies: true}
	l := newLeases(table, "a")[0]
	assert.Assert(t, fault.Is(l.renewOrAcquire(context.Background()), fault.KindUnknown))
	_, ok := l.held(time.Now())
	assert.Assert(t, !ok)
	table.loseReplies = false
	assert.NilError(t, l.renewOrAcquire(context.Background()))
	_, ok = l.held(time.Now())
	assert.Assert(t, ok)
}

func TestShardsCoverEveryWorkerAndModelOnce(t *testing.T) {
	var workers []worker
	for i := range 70 {
		workers = append(workers, worker{name: fmt.Sprintf("w%02d", i), pool: "p"})
	}
	shards := shardsOf(workers)
	assert.Equal(t, len(shards), 3)
	conf := &config.Configuration{}
	for i := range 50 {
		name := fmt.Sprintf("m%02d", i)
		conf.Models = append(conf.Models, config.Model{Name: name, Version: "1", Pool: "p"})
		conf.Adapters = append(conf.Adapters, config.Adapter{Name: "a-" + name, Version: "1", Model: name})
	}
	names, items := 0, 0
	for _, s := range shards {
		assert.Assert(t, len(s.workers) <= shardSize)
		names += len(s.workers)
		items += len(itemsOf(s, shards, conf))
	}
	assert.Equal(t, names, 70)
	assert.Equal(t, items, 100)
}

func TestEveryShardIsWatched(t *testing.T) {
	entries := []string{"a", "b", "c", "d"}
	for i := range 20 {
		watching := 0
		for _, e := range entries {
			if watches(e, entries, fmt.Sprint(i)) {
				watching++
			}
		}
		assert.Equal(t, watching, watchers)
	}
}

func TestDemandCountsNewRequestsAcrossRestarts(t *testing.T) {
	d := newDemand(1)
	a := config.Model{Name: "m", Version: "1"}.Artifact()
	reply := func(incarnation string, requests uint64) []workerReply {
		inv := rpc.InventoryReply{Identity: rpc.Identity{Incarnation: incarnation}}
		inv.Demand = []rpc.Demand{{Artifact: a, Requests: requests, Busy: time.Duration(requests) * 100 * time.Millisecond}}
		return []workerReply{{inventory: inv, ok: true}}
	}
	now := time.Unix(1000, 0)
	d.observe(reply("one", 1000), now)
	assert.Equal(t, len(d.rates()), 0, "requests before the first observation are not counted")
	d.observe(reply("one", 1100), now.Add(10*time.Second))
	rate := d.rates()[0]
	assert.Assert(t, rate.Rate > 9 && rate.Rate < 10, "%v", rate.Rate)
	assert.Equal(t, rate.Service, 100*time.Millisecond)
	d.observe(reply("two", 5), now.Add(20*time.Second))
	assert.Assert(t, d.rates()[0].Rate < rate.Rate)
}
