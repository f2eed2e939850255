package placement

import (
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
)

// OrderID names one order given to the engine by one side process.
type OrderID uint64

// Holding is one artifact as an engine's inventory shows it.
type Holding struct {
	Artifact wire.Artifact
	Bytes    int64
	Loading  bool
}

// order is an order whose effect is not certain yet.
type order struct {
	load         bool
	fencingToken uint64    // fencing number that it carries
	settlesAt    time.Time // latest moment of its effect; zero while its answer is awaited
	fencedAt     time.Time // when an engine that checks fencing had acknowledged a later number
}

// ledgerEntry is what is known of one artifact.
type ledgerEntry struct {
	bytes   int64
	present bool // by the last confirmation or inventory
	loading bool // present, not yet usable
	orders  map[OrderID]order
	changed time.Time // of the last confirmation; an older inventory says nothing
}

// LedgerOptions describe the server whose memory is kept.
type LedgerOptions struct {
	Capacity int64         // bytes for weights
	Settle   time.Duration // longest time for which an order given up may still take effect
	Fencing  bool          // the engine refuses fencing numbers below the highest it has seen
}

// Ledger is the sole authority over one server's accelerator memory.
//
// Invariant: the bytes of every artifact that may be in memory, by any order
// whose effect is possible, never exceed the capacity. An order whose answer
// was lost counts as done and as not done until it has settled: until Settle
// has passed, or a later fencing number was acknowledged, and an inventory
// asked for after that has shown which it was.
type Ledger struct {
	opts          LedgerOptions
	entries       map[wire.Artifact]*ledgerEntry
	next          OrderID
	quarantine    bool      // orders of an earlier process may take effect, or have done so unseen
	quarantineEnd time.Time // moment after which they no longer can
	lastInventory time.Time // when the newest inventory applied was asked for
}

// NewLedger returns the ledger of a process that started now. What an earlier
// process has ordered is not known, so free memory counts as taken until its
// orders have settled and an inventory asked for after that was applied.
func NewLedger(opts LedgerOptions, now time.Time) *Ledger {
	return &Ledger{
		opts:          opts,
		entries:       map[wire.Artifact]*ledgerEntry{},
		quarantine:    true,
		quarantineEnd: now.Add(opts.Settle),
	}
}

// Quarantined reports whether nothing may be reserved yet.
func (l *Ledger) Quarantined() bool { return l.quarantine }

// Used returns the bytes counted as taken.
func (l *Ledger) Used() int64 {
	var sum int64
	for _, e := range l.entries {
		sum += e.bytes
	}
	return sum
}

// Free returns the bytes that may be reserved once not quarantined.
func (l *Ledger) Free() int64 { return l.opts.Capacity - l.Used() }

// BeginLoad counts an artifact as taken before its load is ordered. The error
// has KindConflict when the artifact is already counted, KindUnavailable in
// quarantine and KindRefused when it does not fit.
func (l *Ledger) BeginLoad(a wire.Artifact, bytes int64, fencingToken uint64) (OrderID, error) {
	if l.quarantine {
		return 0, fault.Newf(fault.KindUnavailable, "ledger.load", "", "orders of an earlier process may be on their way")
	}
	if _, ok := l.entries[a]; ok {
		return 0, fault.Newf(fault.KindConflict, "ledger.load", "", "%s is already counted", a)
	}
	if free := l.Free(); bytes > free {
		return 0, fault.Newf(fault.KindRefused, "ledger.load", "", "%s needs %d bytes, %d are free", a, bytes, free)
	}
	l.entries[a] = &ledgerEntry{bytes: bytes, orders: map[OrderID]order{}}
	return l.add(a, order{load: true, fencingToken: fencingToken}), nil
}

// BeginUnload records that an unload is ordered. The artifact is not usable
// from now on and its bytes stay counted. The error has KindConflict when it
// is not present or another order for it is not settled.
func (l *Ledger) BeginUnload(a wire.Artifact, fencingToken uint64) (OrderID, error) {
	e, ok := l.entries[a]
	if !ok || !e.present || len(e.orders) > 0 {
		return 0, fault.Newf(fault.KindConflict, "ledger.unload", "", "%s is not settled here", a)
	}
	return l.add(a, order{fencingToken: fencingToken}), nil
}

func (l *Ledger) add(a wire.Artifact, o order) OrderID {
	l.next++
	l.entries[a].orders[l.next] = o
	return l.next
}

// Done records that the engine has carried out the order.
func (l *Ledger) Done(a wire.Artifact, id OrderID, now time.Time) {
	e, ok := l.entries[a]
	if !ok {
		return
	}
	o, ok := e.orders[id]
	if !ok {
		return
	}
	delete(e.orders, id)
	e.present, e.loading, e.changed = o.load, false, now
	l.fenceBefore(o.fencingToken, now)
	l.dropEmpty(a)
}

// NotDone records that the order certainly had and will have no effect.
func (l *Ledger) NotDone(a wire.Artifact, id OrderID) {
	if e, ok := l.entries[a]; ok {
		delete(e.orders, id)
		l.dropEmpty(a)
	}
}

// Lost records that the order's answer will not come: it may have taken
// effect, or may yet.
func (l *Ledger) Lost(a wire.Artifact, id OrderID, now time.Time) {
	e, ok := l.entries[a]
	if !ok {
		return
	}
	if o, ok := e.orders[id]; ok {
		o.settlesAt = now.Add(l.opts.Settle)
		e.orders[id] = o
	}
}

// Acknowledged records that the engine has answered to a fencing number. On an
// engine that checks them, lost orders with lower numbers can't take effect any more.
func (l *Ledger) Acknowledged(fencingToken uint64, now time.Time) { l.fenceBefore(fencingToken, now) }

func (l *Ledger) fenceBefore(fencingToken uint64, now time.Time) {
	if !l.opts.Fencing {
		return
	}
	if now.Before(l.quarantineEnd) {
		l.quarantineEnd = now
	}
	for _, e := range l.entries {
		for id, o := range e.orders {
			if o.fencingToken < fencingToken && o.fencedAt.IsZero() {
				o.fencedAt = now
				e.orders[id] = o
			}
		}
	}
}

// Observe applies an inventory that was asked for at the given time. It says
// nothing of what was confirmed after that, and an older one than the newest
// applied is ignored.
func (l *Ledger) Observe(inventory []Holding, requestedAt time.Time) {
	if requestedAt.Before(l.lastInventory) {
		return
	}
	l.lastInventory = requestedAt
	if requestedAt.After(l.quarantineEnd) {
		l.quarantine = false
	}
	listed := make(map[wire.Artifact]Holding, len(inventory))
	for _, h := range inventory {
		listed[h.Artifact] = h
		if _, ok := l.entries[h.Artifact]; !ok {
			l.entries[h.Artifact] = &ledgerEntry{bytes: h.Bytes, orders: map[OrderID]order{}}
		}
	}
	for a, e := range l.entries {
		if e.changed.After(requestedAt) {
			continue
		}
		h, ok := listed[a]
		e.present, e.loading = ok, h.Loading
		e.bytes = max(e.bytes, h.Bytes)
		e.settle(requestedAt)
		l.dropEmpty(a)
	}
}

// settle forgets the lost orders that could no longer take effect when the
// inventory was asked for.
func (e *ledgerEntry) settle(requestedAt time.Time) {
	for id, o := range e.orders {
		expired := !o.settlesAt.IsZero() && o.settlesAt.Before(requestedAt)
		fenced := !o.fencedAt.IsZero() && o.fencedAt.Before(requestedAt) && !o.settlesAt.IsZero()
		if expired || fenced {
			delete(e.orders, id)
		}
	}
}

func (l *Ledger) dropEmpty(a wire.Artifact) {
	if e := l.entries[a]; !e.present && len(e.orders) == 0 {
		delete(l.entries, a)
	}
}

// Usable reports whether requests for the artifact may be sent: it is loaded
// and no unload that may yet take effect was ordered.
func (l *Ledger) Usable(a wire.Artifact) bool {
	e, ok := l.entries[a]
	return ok && e.usable()
}

func (e *ledgerEntry) usable() bool {
	if !e.present || e.loading {
		return false
	}
	for _, o := range e.orders {
		if !o.load {
			return false
		}
	}
	return true
}

// Settled reports whether no order's effect is uncertain.
func (l *Ledger) Settled() bool {
	for _, e := range l.entries {
		if len(e.orders) > 0 {
			return false
		}
	}
	return true
}

// Uncertain reports whether an order was lost and has not settled.
func (l *Ledger) Uncertain() bool {
	for _, e := range l.entries {
		for _, o := range e.orders {
			if !o.settlesAt.IsZero() {
				return true
			}
		}
	}
	return false
}

// Counted reports whether the artifact may be in memory.
func (l *Ledger) Counted(a wire.Artifact) bool {
	_, ok := l.entries[a]
	return ok
}

// Position is one line of the ledger.
type Position struct {
	Artifact wire.Artifact
	Bytes    int64
	Usable   bool
	Settled  bool // no order for it is uncertain
}

// Positions returns every artifact that may be in memory, in no order.
func (l *Ledger) Positions() []Position {
	out := make([]Position, 0, len(l.entries))
	for a, e := range l.entries {
		out = append(out, Position{Artifact: a, Bytes: e.bytes, Usable: e.usable(), Settled: len(e.orders) == 0})
	}
	return out
}
