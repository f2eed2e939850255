// Package orders gives all orders to the model servers of a deployment whose
// servers are called directly. It runs in every entry; the entry that holds the
// lease decides what the servers load (package residence) and the others ask it.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/residence"
	"peridotchute.example/store"
)

const (
	planTime      = 100 * time.Millisecond // between plans
	orderTimeout  = time.Second            // of a model order; the end of the lease ends it sooner
	reportTimeout = time.Second
	// adapterTimeout is that of an adapter order: the request that waits for it
	// is to be served within a second. It leaves room for one packet sent again.
	adapterTimeout = 400 * time.Millisecond
	// loadWindow is the default span over which the weight store counts loads.
	loadWindow = 5 * time.Second
	// defaultGap is the default time between the orders of two holders.
	defaultGap = 3 * time.Second
)

// Options configure a Keeper.
type Options struct {
	Table      store.Table
	Control    fleet.Control
	View       func() *fleet.View
	Self       string                        // name of this entry's VM, which no other VM ever has
	LeaseGap   time.Duration                 // between the orders of two holders; 0 means the default
	LoadWindow time.Duration                 // over which the weight store counts loads; 0 means the default
	LoadBurst  float64                       // how far a window may exceed the rate of loads; 0 means not at all
	Clock      func() time.Duration          // runs while the machine is suspended; nil means Boottime
	Down       func(server string) bool      // whether a server cannot be reached; may be nil
	OnChange   func(server string, c Change) // called without locks held; may be nil
	OnLease    func(LeaseNote)               // tells the other entries; may be nil
	Log        logrus.FieldLogger
}

// Change tells what a server holds after an order, ahead of its registration.
type Change struct {
	Born      int64 // incarnation of the server
	OrderSeq  int64
	Residents []fleet.Resident // without what is to be unloaded
	Fetching  []string         // adapters on their way
}

// Keeper keeps the lease and, while it holds it, gives the orders.
type Keeper struct {
	opts  Options
	lease *lease
	wake  chan struct{} // has the planner run at once

	released chan struct{} // has the lease read at once

	mu      sync.Mutex
	books   map[string]*residence.Book // by service
	term    int64                      // of the lease under which the books were begun
	view    *fleet.View                // last taken in
	asking  map[string]bool            // servers that are being asked for a report
	changed chan struct{}              // closed at the next change of a book
	flights map[flightKey]*flight
	stopped bool
	given   given
	calls   int        // orders and reports in progress
	settled *sync.Cond // signalled when calls becomes 0
	counts  Counts
}

// New returns a keeper that holds nothing.
func New(opts Options) *Keeper {
	if opts.Clock == nil {
		opts.Clock = Boottime
	}
	if opts.LeaseGap <= 0 {
		opts.LeaseGap = defaultGap
	}
	if opts.LoadWindow <= 0 {
		opts.LoadWindow = loadWindow
	}
	k := &Keeper{
		opts:  opts,
		lease: &lease{table: opts.Table, self: opts.Self, gap: opts.LeaseGap, clock: opts.Clock},
		wake:  make(chan struct{}, 1),

		released: make(chan struct{}, 1),
		books:    map[string]*residence.Book{},
		asking:   map[string]bool{},
		changed:  make(chan struct{}),
		flights:  map[flightKey]*flight{},
		given:    newGiven(),
	}
	k.settled = sync.NewCond(&k.mu)
	return k
}

// Run keeps the lease and gives orders until ctx ends and the calls in
// progress have returned.
func (k *Keeper) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { k.runLease(ctx) })
	duties.Go(func() { k.runPlans(ctx) })
	duties.Wait()
	k.stop()
}

// stop begins no more calls and waits for those in progress.
func (k *Keeper) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopped = true
	k.changedLocked()
	k.settleLocked()
}

// callLocked runs a call to a server on a goroutine of its own.
func (k *Keeper) callLocked(f func()) {
	k.calls++
	go func() {
		f()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.calls--
		if k.calls == 0 {
			k.settled.Broadcast()
		}
	}()
}

// settleLocked waits until no call is in progress.
func (k *Keeper) settleLocked() {
	for k.calls > 0 {
		k.settled.Wait()
	}
}

// Close stops giving orders, waits for those in progress and releases the
// lease, so that another entry may take it sooner.
func (k *Keeper) Close(ctx context.Context) error {
	mine := k.lease.close()
	k.stop()
	if !mine {
		return nil
	}
	event.Log(k.opts.Log, event.OrdersLeaseEnded, event.Reason("released"))
	h := k.handover()
	if k.opts.OnLease != nil {
		defer k.opts.OnLease(LeaseNote{Term: k.Term(), Handover: h})
	}
	return k.lease.release(ctx, h)
}

// Holder returns the name of the VM that gives the orders, empty when it is not
// known, and whether this entry may give them now.
func (k *Keeper) Holder() (name string, mine bool) {
	_, left := k.lease.held()
	name, _ = k.lease.holder()
	return name, left > 0
}

// Lease returns the holder's name and the term under which it gives the orders.
func (k *Keeper) Lease() (holder string, term int64) { return k.lease.holder() }

// Term returns the fencing token of the lease as last read.
func (k *Keeper) Term() int64 {
	term, _ := k.lease.held()
	return term
}

// Heard takes in what the named entry said of the lease. While it says that it
// holds it, the lease is not read.
func (k *Keeper) Heard(holder string, n LeaseNote) {
	k.lease.hear(holder, n)
	if n.Held {
		return
	}
	select {
	case k.released <- struct{}{}:
	default:
	}
}

// Demand takes in what an entry saw since it told last.
func (k *Keeper) Demand(from string, seen []residence.ModelDemand) {
	byService := map[string][]residence.ModelDemand{}
	urgent := false
	for _, d := range seen {
		byService[d.Service] = append(byService[d.Service], d)
		urgent = urgent || d.Waiting+d.Refused > 0
	}
	k.mu.Lock()
	for service, demand := range byService {
		if b := k.books[service]; b != nil {
			b.Demand.Observe(from, demand, k.opts.Clock())
		}
	}
	k.mu.Unlock()
	if urgent {
		k.wakePlanner()
	}
}

// Backfill takes in what an entry saw before this one held the lease. It fails
// while this entry does not give the orders.
func (k *Keeper) Backfill(note residence.PastNote) error {
	term, left := k.lease.held()
	k.mu.Lock()
	defer k.mu.Unlock()
	if left <= 0 || k.term != term {
		return fault.Newf(fault.KindUnavailable, "orders.backfill", "", "the orders are not given here yet")
	}
	byService := map[string][]residence.Past{}
	for _, p := range note.Models {
		byService[p.Service] = append(byService[p.Service], p)
	}
	for service, seen := range byService {
		if b := k.books[service]; b != nil {
			b.Demand.Backfill(seen, time.Duration(note.SinceMS)*time.Millisecond, k.opts.Clock())
		}
	}
	return nil
}

func (k *Keeper) runLease(ctx context.Context) {
	held := false
	for {
		wait := k.stepLease(ctx)
		held = k.logLease(held)
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-k.released:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// stepLease renews, reads or takes the lease and returns the time until the
// next step.
func (k *Keeper) stepLease(ctx context.Context) time.Duration {
	call, cancel := context.WithTimeout(ctx, store.DefaultTimeout)
	defer cancel()
	wait, err := k.lease.step(call)
	if err != nil && ctx.Err() == nil {
		event.Log(k.opts.Log, event.OrdersLeaseError, event.Err(err))
		k.resign()
	}
	if err == nil {
		k.announceLease()
	}
	return wait
}

// announceLease tells the other entries that this one holds the lease.
func (k *Keeper) announceLease() {
	if term, left := k.lease.held(); left > 0 && k.opts.OnLease != nil {
		k.opts.OnLease(LeaseNote{Term: term, Held: true, Version: k.lease.version()})
	}
}

// logLease logs when the holding began or ended since the last step.
func (k *Keeper) logLease(before bool) (now bool) {
	term, left := k.lease.held()
	switch {
	case left > 0 && !before:
		event.Log(k.opts.Log, event.OrdersTaken, event.Count(term), event.Peer(k.lease.before()))
		k.wakePlanner()
	case left <= 0 && before:
		event.Log(k.opts.Log, event.OrdersLeaseEnded, event.Reason("not renewed"))
	}
	return left > 0
}

func (k *Keeper) wakePlanner() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// changedLocked tells those who wait for a change of a book.
func (k *Keeper) changedLocked() {
	close(k.changed)
	k.changed = make(chan struct{})
}

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
