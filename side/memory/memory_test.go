package memory

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/engine"
	"peridotchute.example/rpc"
	standin "peridotchute.example/standin/engine"
)

const (
	modelBytes   = 40
	adapterBytes = 5
	testSettle   = 50 * time.Millisecond
)

// lossyClient loses the answers to some orders. The engine receives these orders
// after a delay.
type lossyClient struct {
	engine.Client
	mu   sync.Mutex
	rnd  *rand.Rand
	loss float64
}

func (l *lossyClient) Order(ctx context.Context, o engine.Order) error {
	l.mu.Lock()
	lost := l.rnd.Float64() < l.loss
	delay := time.Duration(l.rnd.IntN(20)) * time.Millisecond
	l.mu.Unlock()
	if !lost {
		return l.Client.Order(ctx, o)
	}
	go func() {
		time.Sleep(delay)
		_ = l.Client.Order(context.WithoutCancel(ctx), o)
	}()
	return fault.Newf(fault.KindUnknown, "test.order", "", "answer lost")
}

func testConfiguration(version string) *config.Configuration {
	c := &config.Configuration{Version: 1}
	for i := range 4 {
		name := fmt.Sprintf("m%d", i)
		c.Models = append(c.Models, config.Model{Name: name, Version: version, MemoryBytes: modelBytes})
		for j := range 3 {
			c.Adapters = append(c.Adapters, config.Adapter{Name: fmt.Sprintf("a%d-%d", i, j), Version: version, Model: name, MemoryBytes: adapterBytes})
		}
	}
	return c
}

type fixture struct {
	engine *standin.Engine
	client *lossyClient
	holder *config.Holder
	memory *Memory
	stop   func()
}

func newFixture(t *testing.T, fencing bool, loss float64) *fixture {
	t.Helper()
	f := &fixture{engine: standin.New(standin.Options{MemoryBytes: 100, Fencing: fencing}), holder: config.NewHolder()}
	srv := httptest.NewServer(f.engine)
	t.Cleanup(srv.Close)
	f.client = &lossyClient{Client: engine.NewHTTPClient(srv.URL), rnd: rand.New(rand.NewPCG(1, 2)), loss: loss}
	f.holder.Offer(testConfiguration("1"))
	f.start(t, fencing)
	return f
}

// start replaces the Memory, as a restart of the side process does. The engine
// stays.
func (f *fixture) start(t *testing.T, fencing bool) {
	t.Helper()
	if f.stop != nil {
		f.stop()
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	f.memory = New(Options{Engine: f.client, Capacity: 100, Fencing: fencing, Settle: testSettle, Holder: f.holder, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.memory.Run(ctx)
	}()
	f.stop = func() { cancel(); <-done }
	t.Cleanup(f.stop)
}

func (f *fixture) acquire(ctx context.Context, name string) (func(), error) {
	resolved, _ := f.holder.Current().Resolve(name)
	return f.memory.Acquire(ctx, resolved.Artifact, resolved.Base, resolved.Bytes)
}

// acquireEventually retries until the artifact is acquired and returns its release
// function.
func (f *fixture) acquireEventually(t *testing.T, name string) func() {
	t.Helper()
	var release func()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		if release, err = f.acquire(context.Background(), name); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	return release
}

func (f *fixture) assertNoBreaches(t *testing.T) {
	t.Helper()
	got := f.engine.Breaches()
	assert.Equal(t, got.Overcommits, 0)
	assert.Equal(t, got.InUseUnloads, 0)
	assert.Assert(t, got.PeakBytes <= 100, "peak %d", got.PeakBytes)
}

func TestEveryArtifactIsLoadableWithinTheCapacity(t *testing.T) {
	f := newFixture(t, false, 0)
	for i := range 4 {
		for j := range 3 {
			f.acquireEventually(t, fmt.Sprintf("a%d-%d", i, j))()
		}
	}
	f.assertNoBreaches(t)
}

func TestReadyMeansThatTheFirstRequestIsServed(t *testing.T) {
	f := newFixture(t, false, 0)
	assert.Assert(t, f.memory.Ready() != nil, "before the orders of an earlier process have settled")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := f.memory.Ready(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	release, err := f.acquire(context.Background(), "m0")
	assert.NilError(t, err)
	release()
}

func TestArtifactsInUseAreNotUnloaded(t *testing.T) {
	f := newFixture(t, false, 0)
	releaseFirst := f.acquireEventually(t, "m0")
	releaseSecond := f.acquireEventually(t, "m1")
	_, err := f.acquire(context.Background(), "m2")
	assert.Assert(t, fault.Is(err, fault.KindRefused), "%v", err)
	releaseFirst()
	f.acquireEventually(t, "m2")()
	assert.Assert(t, f.memory.isUsable(wire.Artifact{Kind: wire.KindModel, Name: "m1", Version: "1"}))
	releaseSecond()
	f.assertNoBreaches(t)
}

func TestNoOvercommitWithLostOrdersAndRestarts(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%v", fencing), func(t *testing.T) {
			f := newFixture(t, fencing, 0.15)
			for round := range 3 {
				var group sync.WaitGroup
				for worker := range 8 {
					group.Go(func() { f.acquireRandomly(uint64(round), uint64(worker)) })
				}
				group.Wait()
				f.start(t, fencing)
				next := testConfiguration(fmt.Sprint(round + 2))
				next.Version = uint64(round + 2)
				f.holder.Offer(next)
			}
			f.acquireEventually(t, "a3-2")()
			f.assertNoBreaches(t)
		})
	}
}

func (f *fixture) acquireRandomly(round, worker uint64) {
	rnd := rand.New(rand.NewPCG(round, worker))
	for range 40 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		release, err := f.acquire(ctx, fmt.Sprintf("a%d-%d", rnd.IntN(4), rnd.IntN(3)))
		if err == nil {
			time.Sleep(time.Duration(rnd.IntN(3)) * time.Millisecond)
			release()
		} else {
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
	}
}

func TestOrderedUnloadWaitsForRequestsAndRejectsNewOnes(t *testing.T) {
	f := newFixture(t, false, 0)
	release := f.acquireEventually(t, "a0-0")
	model := wire.Artifact{Kind: wire.KindModel, Name: "m0", Version: "1"}
	order := rpc.Order{Cell: "c", Term: 1, Sequence: 1, TTL: time.Minute, Kind: engine.VerbUnload, Artifact: model}
	assert.Assert(t, f.memory.Submit(order).Accepted)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.memory.isRetired(model) {
			return poll.Success()
		}
		return poll.Continue("not retired yet")
	}, poll.WithTimeout(time.Minute))
	_, err := f.acquire(context.Background(), "m0")
	assert.Assert(t, fault.Is(err, fault.KindRefused), "%v", err)
	release()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(f.memory.Inventory().Residents) == 0 && !f.memory.isRetired(model) {
			return poll.Success()
		}
		return poll.Continue("not unloaded yet")
	}, poll.WithTimeout(time.Minute))
	f.acquireEventually(t, "m0")()
	f.assertNoBreaches(t)
	assert.Equal(t, len(f.memory.Demand()), 2)
}

func TestOrdersWithAnOlderFencingTokenAreDeclined(t *testing.T) {
	f := newFixture(t, false, 0)
	order := rpc.Order{Cell: "c", Term: 2, Sequence: 1, TTL: time.Minute, Kind: engine.VerbLoad, Artifact: wire.Artifact{Kind: wire.KindModel, Name: "m0", Version: "1"}}
	f.acquireEventually(t, "m1")()
	assert.Assert(t, f.memory.Submit(order).Accepted)
	assert.Assert(t, !f.memory.Submit(order).Accepted, "same sequence")
	older := order
	older.Term, older.Sequence = 1, 9
	assert.Assert(t, !f.memory.Submit(older).Accepted)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.memory.isUsable(order.Artifact) {
			return poll.Success()
		}
		return poll.Continue("not loaded yet")
	}, poll.WithTimeout(time.Minute))
	assert.Equal(t, f.memory.Inventory().Fenced, uint64(2))
}
