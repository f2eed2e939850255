package placement

import (
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
)

// OrderID identifies an order sent to the engine by one side process.
type OrderID uint64

// Holding is one artifact in an engine's inventory.
type Holding struct {
	Artifact wire.Artifact
	Bytes    int64
	Loading  bool
}

// order is an order whose effect is still uncertain.
type order struct {
	load         bool
	fencingToken uint64
	settlesAt    time.Time // latest time at which it may take effect; zero while its answer is awaited
	fencedAt     time.Time // time at which an engine that checks fencing acknowledged a higher token
}

// ledgerEntry is the known state of one artifact.
type ledgerEntry struct {
	bytes   int64
	present bool // as of the last confirmed order or inventory
	loading bool // present but not yet usable
	orders  map[OrderID]order
	changed time.Time // time of the last confirmed order; an earlier inventory is ignored
}

// LedgerOptions configure a Ledger.
type LedgerOptions struct {
	Capacity int64         // bytes available for weights
	Settle   time.Duration // time after which a lost order can no longer take effect
	Fencing  bool          // the engine rejects fencing tokens below the highest it has seen
}

// Ledger is the only authority over one server's accelerator memory.
//
// Invariant: the total size of all artifacts that may be in memory, including
// those of orders that may still take effect, never exceeds the capacity. A
// lost order counts both as executed and as not executed until it has settled:
// once Settle has passed or a later fencing token was acknowledged, an
// inventory requested after that shows its effect.
type Ledger struct {
	opts          LedgerOptions
	entries       map[wire.Artifact]*ledgerEntry
	next          OrderID
	quarantine    bool      // orders of an earlier process may still take effect, or took effect unobserved
	quarantineEnd time.Time // time after which orders of an earlier process can't take effect
	lastInventory time.Time // request time of the newest inventory applied
}

// NewLedger returns the ledger of a process that started at now. The orders of
// an earlier process are unknown, so nothing can be reserved until they have
// settled and an inventory requested after that was applied.
func NewLedger(opts LedgerOptions, now time.Time) *Ledger {
	return &Ledger{
		opts:          opts,
		entries:       map[wire.Artifact]*ledgerEntry{},
		quarantine:    true,
		quarantineEnd: now.Add(opts.Settle),
	}
}

// Quarantined reports whether reservations are still blocked by possible orders
// of an earlier process.
func (l *Ledger) Quarantined() bool { return l.quarantine }

// Used returns the number of bytes counted as used.
func (l *Ledger) Used() int64 {
	var sum int64
	for _, e := range l.entries {
		sum += e.bytes
	}
	return sum
}

// Free returns the number of bytes that can be reserved when not in quarantine.
func (l *Ledger) Free() int64 { return l.opts.Capacity - l.Used() }

// BeginLoad reserves the memory of an artifact before its load is ordered. The
// error has KindConflict if the artifact is already counted, KindUnavailable in
// quarantine and KindRefused if it does not fit.
func (l *Ledger) BeginLoad(a wire.Artifact, bytes int64, fencingToken uint64) (OrderID, error) {
	if l.quarantine {
		return 0, fault.Newf(fault.KindUnavailable, "ledger.load", "", "orders of an earlier process may still take effect")
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

// BeginUnload records that an unload is being ordered. The artifact is no
// longer usable, but its bytes stay counted. The error has KindConflict if the
// artifact is not present or has another unsettled order.
func (l *Ledger) BeginUnload(a wire.Artifact, fencingToken uint64) (OrderID, error) {
	e, ok := l.entries[a]
	if !ok || !e.present || len(e.orders) > 0 {
		return 0, fault.Newf(fault.KindConflict, "ledger.unload", "", "%s is not present or has an unsettled order", a)
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

// NotDone records that the order had no effect and never will.
func (l *Ledger) NotDone(a wire.Artifact, id OrderID) {
	if e, ok := l.entries[a]; ok {
		delete(e.orders, id)
		l.dropEmpty(a)
	}
}

// Lost records that the order's answer was lost: the order may have taken
// effect, or may still do so.
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

// Acknowledged records that the engine has accepted a fencing token. If the
// engine checks tokens, lost orders with lower ones can no longer take effect.
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

// Observe applies an inventory that was requested at requestedAt. Artifacts
// with an order confirmed after that time are left unchanged. An inventory
// requested before the newest one applied is ignored.
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

// settle removes the lost orders that could no longer take effect when the
// inventory was requested.
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

// Usable reports whether requests for the artifact may be sent: it is loaded,
// and no unload of it was ordered that may still take effect.
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

// Settled reports whether no order has an uncertain effect.
func (l *Ledger) Settled() bool {
	for _, e := range l.entries {
		if len(e.orders) > 0 {
			return false
		}
	}
	return true
}

// Uncertain reports whether a lost order has not settled.
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

// Position is the memory that one artifact may occupy.
type Position struct {
	Artifact wire.Artifact
	Bytes    int64
	Usable   bool
	Settled  bool // no order for the artifact has an uncertain effect
}

// Positions returns all artifacts that may be in memory, in no particular
// order.
func (l *Ledger) Positions() []Position {
	out := make([]Position, 0, len(l.entries))
	for a, e := range l.entries {
		out = append(out, Position{Artifact: a, Bytes: e.bytes, Usable: e.usable(), Settled: len(e.orders) == 0})
	}
	return out
}
