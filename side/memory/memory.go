// Package memory manages the accelerator memory of one engine. It loads artifacts
// for requests and by orders of lease holders, keeps those in use and evicts idle
// ones to free memory. All changes are accounted for in a placement.Ledger.
package memory

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/ring"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/engine"
	"peridotchute.example/placement"
	"peridotchute.example/rpc"
)

const (
	orderTTL              = 10 * time.Second       // engines that check expiry start no order after this time
	orderTimeout          = 2 * time.Minute        // limit for the engine to execute an order
	expiryMargin          = time.Second            // added to orderTTL before a lost order counts as settled
	settleUnchecked       = 10 * time.Second       // for engines that check neither expiry nor fencing tokens
	modelLoaders          = 4                      // concurrent loads of models
	adapterLoaders        = 8                      // concurrent loads of adapters
	maxWaitingLoads       = 256                    // queued loads, for models and adapters each
	maxWaitingOrders      = 256                    // queued orders of lease holders
	pollInterval          = time.Second            // between inventories if all orders are settled
	uncertainPollInterval = 100 * time.Millisecond // between inventories otherwise
	pollTimeout           = 2 * time.Second
)

var counters = expvar.NewMap("memory")

// Permits limits the loads of all side processes from the weight store.
type Permits interface {
	// Take waits for a permit to load an artifact of the kind. The caller calls
	// release when the load has ended.
	Take(ctx context.Context, kind wire.ArtifactKind) (release func(), err error)
}

// Options configure a Memory.
type Options struct {
	Engine   engine.Client
	Capacity int64 // bytes of accelerator memory for weights
	Fencing  bool  // the engine rejects expired orders and old fencing tokens
	// Settle is how long an order may still take effect after its answer was
	// lost; 0 means the default, which depends on Fencing.
	Settle  time.Duration
	Holder  *config.Holder
	Permits Permits // nil: loads need no permit
	Log     logrus.FieldLogger
}

func (o Options) settle() time.Duration {
	switch {
	case o.Settle > 0:
		return o.Settle
	case o.Fencing:
		return orderTTL + expiryMargin
	}
	return settleUnchecked
}

// use counts the requests that are using an artifact.
type use struct {
	count int
	last  time.Time // last time a request began or ended
}

// Memory manages the memory of one engine. Loads and orders are executed only while
// Run is running. It is safe for concurrent use.
type Memory struct {
	opts     Options
	models   *ring.Ring[*pendingLoad] // loads of models
	adapters *ring.Ring[*pendingLoad] // loads of adapters
	orders   *ring.Ring[acceptedOrder]
	refresh  chan struct{} // requests an inventory at once
	ready    chan struct{} // closed once the first inventory has been applied

	mu             sync.Mutex
	ledger         *placement.Ledger
	engineToken    uint64 // fencing token of orders to the engine
	uses           map[wire.Artifact]*use
	pendingLoads   map[wire.Artifact]*pendingLoad
	fences         map[string]fence // by shard
	demand         map[wire.Artifact]*artifactUsage
	activeRequests int // requests that use or wait for an artifact
	// retired has the artifacts being unloaded, for which new requests are rejected.
	// The channel is closed when the last request ends; it is nil if there is none.
	retired        map[wire.Artifact]chan struct{}
	role           engine.Role
	inventoryKnown bool // the first inventory has been applied
}

// New returns a Memory. It reads the engine's inventory once Run is called.
func New(opts Options) *Memory {
	now := time.Now()
	ledger := placement.NewLedger(placement.LedgerOptions{
		Capacity: opts.Capacity,
		Settle:   opts.settle(),
		Fencing:  opts.Fencing,
	}, now)
	return &Memory{
		opts:         opts,
		models:       ring.New[*pendingLoad](maxWaitingLoads, ring.Reject),
		adapters:     ring.New[*pendingLoad](maxWaitingLoads, ring.Reject),
		orders:       ring.New[acceptedOrder](maxWaitingOrders, ring.Reject),
		refresh:      make(chan struct{}, 1),
		ready:        make(chan struct{}),
		ledger:       ledger,
		engineToken:  uint64(now.UnixMicro()),
		uses:         map[wire.Artifact]*use{},
		pendingLoads: map[wire.Artifact]*pendingLoad{},
		fences:       map[string]fence{},
		demand:       map[wire.Artifact]*artifactUsage{},
		retired:      map[wire.Artifact]chan struct{}{},
	}
}

// Run polls the engine's inventory and executes loads and orders until ctx ends.
func (m *Memory) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range modelLoaders {
		group.Go(func() { m.runLoads(ctx, m.models) })
	}
	for range adapterLoaders {
		group.Go(func() { m.runLoads(ctx, m.adapters) })
	}
	group.Go(func() { m.runOrders(ctx) })
	m.runPolling(ctx)
	group.Wait()
}

// Ready returns an error until artifacts can be loaded: the engine's inventory must
// have been read, and orders of an earlier process must have settled.
func (m *Memory) Ready() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.inventoryKnown:
		return errors.New("the engine's inventory has not been read yet")
	case m.ledger.Quarantined():
		return errors.New("orders of an earlier process may still take effect")
	}
	return nil
}

// Acquire loads the artifact and its base model if necessary and prevents their
// unloading until release is called. The error has KindRefused if other work needs
// the memory, KindUnavailable if loading is currently impossible, and KindCanceled
// if ctx ended first; in each case the request has not been run.
func (m *Memory) Acquire(ctx context.Context, artifact, base wire.Artifact, bytes int64) (release func(), err error) {
	end := m.beginRequest(artifact)
	releaseArtifacts, err := m.acquire(ctx, artifact, base, bytes)
	if err != nil {
		end()
		return nil, err
	}
	return func() {
		releaseArtifacts()
		end()
	}, nil
}

func (m *Memory) acquire(ctx context.Context, artifact, base wire.Artifact, bytes int64) (release func(), err error) {
	if base == (wire.Artifact{}) || base == artifact {
		return m.acquireOne(ctx, loadRequest{artifact: artifact, bytes: bytes, evict: true})
	}
	resolved, ok := m.lookup(base.Name)
	if !ok {
		return nil, fault.Newf(fault.KindUnavailable, "memory.acquire", "", "%s is not declared", base)
	}
	releaseBase, err := m.acquireOne(ctx, loadRequest{artifact: base, bytes: resolved.Bytes, evict: true})
	if err != nil {
		return nil, err
	}
	releaseAdapter, err := m.acquireOne(ctx, loadRequest{artifact: artifact, base: base, bytes: bytes, evict: true})
	if err != nil {
		releaseBase()
		return nil, err
	}
	return func() {
		releaseAdapter()
		releaseBase()
	}, nil
}

// loadRequest is a request to load one artifact.
type loadRequest struct {
	artifact wire.Artifact
	base     wire.Artifact // zero for models
	bytes    int64
	evict    bool // idle artifacts may be unloaded to free memory
}

// acquireOne pins the artifact, after loading it if necessary.
func (m *Memory) acquireOne(ctx context.Context, r loadRequest) (func(), error) {
	for {
		if m.isRetired(r.artifact) {
			return nil, fault.Newf(fault.KindRefused, "memory.hold", "", "%s is about to be unloaded", r.artifact)
		}
		if release, ok := m.pin(r.artifact); ok {
			return release, nil
		}
		if err := m.awaitLoad(ctx, r); err != nil {
			return nil, err
		}
	}
}

// pin prevents the unloading of the artifact until release is called. It returns
// false if the artifact is not usable.
func (m *Memory) pin(a wire.Artifact) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, isRetired := m.retired[a]; isRetired || !m.ledger.Usable(a) {
		return nil, false
	}
	u, ok := m.uses[a]
	if !ok {
		u = &use{}
		m.uses[a] = u
	}
	u.count++
	u.last = time.Now()
	return sync.OnceFunc(func() { m.unpin(a) }), true
}

func (m *Memory) unpin(a wire.Artifact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.uses[a]
	u.count--
	u.last = time.Now()
	if idle, ok := m.retired[a]; ok && u.count == 0 {
		close(idle)
		m.retired[a] = nil
	}
	if u.count == 0 && !m.ledger.MayBeLoaded(a) {
		delete(m.uses, a)
	}
}

func (m *Memory) lookup(name string) (config.Served, bool) {
	index := m.opts.Holder.Current()
	if index == nil {
		return config.Served{}, false
	}
	return index.Resolve(name)
}

// Refresh requests a new inventory, for instance after the engine answered that an
// artifact is not found.
func (m *Memory) Refresh() {
	select {
	case m.refresh <- struct{}{}:
	default:
	}
}

// Inventory returns the artifacts according to the ledger. The caller sets Identity,
// ConfigVersion and Demand.
func (m *Memory) Inventory() rpc.InventoryReply {
	m.mu.Lock()
	allocations := m.ledger.Allocations()
	for i := range allocations {
		if _, isRetired := m.retired[allocations[i].Artifact]; isRetired {
			allocations[i].Usable = false
		}
	}
	reply := rpc.InventoryReply{
		MemoryBytes: m.opts.Capacity,
		FreeBytes:   m.ledger.Free(),
		Fenced:      m.highestFencingTokenLocked(),
		EngineRole:  m.role,
	}
	if m.ledger.Quarantined() {
		reply.FreeBytes = 0
	}
	m.mu.Unlock()
	for _, a := range allocations {
		r := engine.Resident{Artifact: a.Artifact, Bytes: a.Bytes, Loading: !a.Usable}
		if a.Usable {
			reply.Residents = append(reply.Residents, r)
		} else {
			reply.Pending = append(reply.Pending, r)
		}
	}
	reply.Residence = digest(reply.Residents)
	return reply
}
