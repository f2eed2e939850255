// Package memory is the authority over one engine's accelerator memory. It
// loads artifacts on demand and by order, keeps those in use, and evicts idle
// ones to make room, all inside the ledger of package placement.
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
	orderTTL        = 10 * time.Second // an engine that checks expiry begins no order later
	orderTimeout    = 2 * time.Minute  // longest wait for an engine to carry out an order
	expiryMargin    = time.Second      // added to orderTTL before an order counts as settled
	settleUnchecked = 10 * time.Second // for engines that check neither expiry nor fencing
	modelLoaders    = 4                // loads of models in progress at once
	adapterLoaders  = 8                // loads of adapters in progress at once
	loadRing        = 256              // loads waiting
	orderRing       = 256              // plan orders waiting
	pollCalm        = time.Second      // between inventories when nothing is uncertain
	pollBusy        = 100 * time.Millisecond
	pollTimeout     = 2 * time.Second
)

var counters = expvar.NewMap("memory")

// Permits shares the weight store's capacity among the processes.
type Permits interface {
	// Take waits for a permit to load an artifact of the kind.
	Take(ctx context.Context, kind wire.ArtifactKind) (release func(), err error)
}

// Options configure a Memory.
type Options struct {
	Engine   engine.Client
	Capacity int64 // bytes for weights
	Fencing  bool  // the engine refuses expired orders and old fencing numbers
	// Settle is the longest time for which an order given up may still take
	// effect; 0 means the default for engines that do or do not check.
	Settle  time.Duration
	Holder  *config.Holder
	Permits Permits // nil means that loads need none
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

// use counts the requests that need an artifact.
type use struct {
	count int
	last  time.Time // when it was last taken or released
}

// Memory keeps one engine's memory. Run must be running.
type Memory struct {
	opts     Options
	models   *ring.Ring[*flight] // loads of models
	adapters *ring.Ring[*flight] // loads of adapters
	plans    *ring.Ring[planOrder]
	nudge    chan struct{} // asks for an inventory at once
	ready    chan struct{} // closed when the first inventory was applied

	mu      sync.Mutex
	ledger  *placement.Ledger
	epoch   uint64 // fencing number of orders
	uses    map[wire.Artifact]*use
	flights map[wire.Artifact]*flight
	fences  map[string]fence // by cell
	demand  map[wire.Artifact]*asked
	active  int                             // requests that hold or wait for an artifact
	retired map[wire.Artifact]chan struct{} // taken by no new request; closed when the last has ended
	role    engine.Role
	known   bool // an inventory was applied
}

// New returns a memory that has not seen its engine yet.
func New(opts Options) *Memory {
	now := time.Now()
	ledger := placement.NewLedger(placement.LedgerOptions{
		Capacity: opts.Capacity,
		Settle:   opts.settle(),
		Fencing:  opts.Fencing,
	}, now)
	return &Memory{
		opts:     opts,
		models:   ring.New[*flight](loadRing, ring.Reject),
		adapters: ring.New[*flight](loadRing, ring.Reject),
		plans:    ring.New[planOrder](orderRing, ring.Reject),
		nudge:    make(chan struct{}, 1),
		ready:    make(chan struct{}),
		ledger:   ledger,
		epoch:    uint64(now.UnixMicro()),
		uses:     map[wire.Artifact]*use{},
		flights:  map[wire.Artifact]*flight{},
		fences:   map[string]fence{},
		demand:   map[wire.Artifact]*asked{},
		retired:  map[wire.Artifact]chan struct{}{},
	}
}

// Run keeps the inventory fresh and carries out loads and orders until ctx ends.
func (m *Memory) Run(ctx context.Context) {
	var group sync.WaitGroup
	for range modelLoaders {
		group.Go(func() { m.runLoads(ctx, m.models) })
	}
	for range adapterLoaders {
		group.Go(func() { m.runLoads(ctx, m.adapters) })
	}
	group.Go(func() { m.runPlans(ctx) })
	m.runPolls(ctx)
	group.Wait()
}

// Ready returns why no artifact can be loaded yet, or nil: the engine's inventory
// is needed, and orders of an earlier process must have settled.
func (m *Memory) Ready() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.known:
		return errors.New("the engine's inventory was not read yet")
	case m.ledger.Quarantined():
		return errors.New("orders of an earlier process may still take effect")
	}
	return nil
}

// Acquire returns when the artifact and its base model are usable, and keeps
// them so until release is called. It loads what is missing. The error has
// KindRefused when other work needs the memory, KindUnavailable when loading
// is not possible now, and KindCanceled when ctx ended first; in each case
// nothing of the request has run.
func (m *Memory) Acquire(ctx context.Context, artifact, base wire.Artifact, bytes int64) (release func(), err error) {
	end := m.begin(artifact)
	letGo, err := m.acquire(ctx, artifact, base, bytes)
	if err != nil {
		end()
		return nil, err
	}
	return func() {
		letGo()
		end()
	}, nil
}

func (m *Memory) acquire(ctx context.Context, artifact, base wire.Artifact, bytes int64) (release func(), err error) {
	if base == (wire.Artifact{}) || base == artifact {
		return m.hold(ctx, request{artifact: artifact, bytes: bytes, evict: true})
	}
	served, ok := m.lookup(base.Name)
	if !ok {
		return nil, fault.Newf(fault.KindUnavailable, "memory.acquire", "", "%s is not declared", base)
	}
	releaseBase, err := m.hold(ctx, request{artifact: base, bytes: served.Bytes, evict: true})
	if err != nil {
		return nil, err
	}
	releaseAdapter, err := m.hold(ctx, request{artifact: artifact, base: base, bytes: bytes, evict: true})
	if err != nil {
		releaseBase()
		return nil, err
	}
	return func() {
		releaseAdapter()
		releaseBase()
	}, nil
}

// request says what is to be loaded.
type request struct {
	artifact wire.Artifact
	base     wire.Artifact // zero for models
	bytes    int64
	evict    bool // idle artifacts may be unloaded to make room
}

// hold returns when the artifact is usable and pinned.
func (m *Memory) hold(ctx context.Context, r request) (func(), error) {
	for {
		if m.isRetired(r.artifact) {
			return nil, fault.Newf(fault.KindRefused, "memory.hold", "", "%s is about to be unloaded", r.artifact)
		}
		if release, ok := m.pin(r.artifact); ok {
			return release, nil
		}
		if err := m.fetch(ctx, r); err != nil {
			return nil, err
		}
	}
}

// pin keeps a usable artifact until release is called.
func (m *Memory) pin(a wire.Artifact) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, leaving := m.retired[a]; leaving || !m.ledger.Usable(a) {
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

// Refresh asks for a new inventory, for instance after the engine has denied
// holding an artifact.
func (m *Memory) Refresh() {
	select {
	case m.nudge <- struct{}{}:
	default:
	}
}

// Inventory returns the ledger's view. The caller fills in Identity and
// ConfigVersion.
func (m *Memory) Inventory() rpc.InventoryReply {
	m.mu.Lock()
	allocations := m.ledger.Allocations()
	for i := range allocations {
		if _, leaving := m.retired[allocations[i].Artifact]; leaving {
			allocations[i].Usable = false
		}
	}
	reply := rpc.InventoryReply{
		MemoryBytes: m.opts.Capacity,
		FreeBytes:   m.ledger.Free(),
		Fenced:      m.highestTermLocked(),
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
