// Package orders issues all load and unload orders to the model servers of a
// deployment whose servers are called directly. It runs in every entry; the entry
// that holds the lease decides what the servers load (package loadplan), and the
// other entries send it their requests.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/loadplan"
	"peridotchute.example/store"
)

const (
	planInterval  = 100 * time.Millisecond
	orderTimeout  = time.Second // for a model order; also bounded by the end of the lease
	reportTimeout = time.Second
	// adapterTimeout bounds an adapter order. It allows for one retransmitted packet,
	// and a request that waits for the adapter can still be served within a second.
	adapterTimeout = 400 * time.Millisecond
	// defaultLoadWindow is the default for Options.LoadWindow.
	defaultLoadWindow = 5 * time.Second
	// defaultLeaseGap is the default for Options.LeaseGap.
	defaultLeaseGap = 3 * time.Second

	// gapMargin is added to the gap: VMs measure it with clocks of slightly different speeds.
	gapMargin = 250 * time.Millisecond

	// lateArrival is how long the kernel may still deliver an order whose call has been given
	// up: as long as it repeats data that is not acknowledged.
	lateArrival = 2 * time.Second
)

// Options configure a Manager.
type Options struct {
	Table      store.Table
	Control    fleet.Control
	View       func() *fleet.View
	Self       string                              // name of this entry's VM, never reused for another VM
	LeaseGap   time.Duration                       // least time between the orders of two lease holders to a server; 0 means the default
	LoadWindow time.Duration                       // over which the weight store limits loads; 0 means the default
	LoadBurst  float64                             // factor by which the loads in a window may exceed the rate; 0 means 1
	Clock      func() time.Duration                // must advance while the machine is suspended; nil means clock.Boottime
	Down       func(server string) bool            // reports whether a server is unreachable; may be nil
	Limit      func(server string) (float64, bool) // requests per second that a server takes, and whether it limits them; may be nil
	OnChange   func(server string, c ServerUpdate) // called without locks held; may be nil
	OnLease    func(LeaseNotice)                   // sends the notice to the other entries; may be nil
	Defers     func() bool                         // reports whether an entry with more processor is connected, which should hold the lease; may be nil
	Log        logrus.FieldLogger
}

// ServerUpdate is what a server has loaded after an order. It reaches the
// entries before the server's updated registration does.
type ServerUpdate struct {
	Born      int64 // incarnation of the server
	OrderSeq  int64
	Residents []fleet.Resident // without models and adapters about to be unloaded
	Fetching  []string         // adapters being loaded
}

// Manager competes for the orders lease and issues the orders while it holds it.
type Manager struct {
	opts     Options
	lease    *lease
	planWake chan struct{} // triggers a planning pass
	notify   chan struct{} // has one element when goroutines waiting for a change must be woken

	leaseWake chan struct{} // triggers a lease step

	mu              sync.Mutex
	placements      map[string]*loadplan.PlacementState // placement state by service
	placementsToken int64                               // fencing token under which placements were created
	view            *fleet.View                         // last applied
	reportsPending  map[string]bool                     // servers whose report has been requested
	changed         chan struct{}                       // closed and replaced when the placement state changes
	flights         map[flightKey]*flight
	stopped         bool
	orderTimes      orderTimes
	calls           int        // orders and reports in progress
	callsDone       *sync.Cond // signalled when calls becomes 0
	counts          Counts
}

// New returns a manager that does not hold the lease yet.
func New(opts Options) *Manager {
	if opts.Clock == nil {
		opts.Clock = clock.Boottime
	}
	if opts.LeaseGap <= 0 {
		opts.LeaseGap = defaultLeaseGap
	}
	opts.LeaseGap += gapMargin
	if opts.LoadWindow <= 0 {
		opts.LoadWindow = defaultLoadWindow
	}
	m := &Manager{
		opts:     opts,
		lease:    &lease{table: opts.Table, self: opts.Self, gap: opts.LeaseGap, clock: opts.Clock, defers: opts.Defers},
		planWake: make(chan struct{}, 1),
		notify:   make(chan struct{}, 1),

		leaseWake:      make(chan struct{}, 1),
		placements:     map[string]*loadplan.PlacementState{},
		reportsPending: map[string]bool{},
		changed:        make(chan struct{}),
		flights:        map[flightKey]*flight{},
		orderTimes:     newOrderTimes(),
	}
	m.callsDone = sync.NewCond(&m.mu)
	return m
}

// Run maintains the lease and issues orders until ctx ends and the calls in
// progress have returned.
func (m *Manager) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.runLease(ctx) })
	loops.Go(func() { m.runPlanner(ctx) })
	loops.Go(func() { m.runNotifier(ctx) })
	loops.Wait()
	m.stop()
}

// stop prevents new calls and waits for those in progress.
func (m *Manager) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.notifyChangedLocked()
	m.waitCallsLocked()
}

// startCallLocked runs a call to a server in a new goroutine and counts it until
// it returns. m.mu is held.
func (m *Manager) startCallLocked(f func()) {
	m.calls++
	go func() {
		f()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.calls--
		if m.calls == 0 {
			m.callsDone.Broadcast()
		}
	}()
}

// waitCallsLocked waits until no call is in progress. m.mu is held.
func (m *Manager) waitCallsLocked() {
	for m.calls > 0 {
		m.callsDone.Wait()
	}
}

// Close stops issuing orders, waits for those in progress and releases the lease,
// so that another entry can take it sooner.
func (m *Manager) Close(ctx context.Context) error {
	wasHeld := m.lease.close()
	m.stop()
	if !wasHeld {
		return nil
	}
	event.Log(m.opts.Log, event.OrdersLeaseEnded, event.Reason("released"))
	h := m.handover()
	if m.opts.OnLease != nil {
		defer m.opts.OnLease(LeaseNotice{FencingToken: m.FencingToken(), Handover: h})
	}
	return m.lease.release(ctx, h)
}

func (m *Manager) wakePlanner() {
	select {
	case m.planWake <- struct{}{}:
	default:
	}
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
