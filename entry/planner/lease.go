package planner

import (
	"context"
	"encoding/json"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

const (
	keyPrefix = "cell/"
	leaseTime = 10 * time.Second // without renewal, by the reader's own clock, a lease is over
	renewTime = 2 * time.Second  // between renewals
	safety    = 2 * time.Second  // a holder stops that much before others may take over
)

// leaseRow is the value of a shard's row.
type leaseRow struct {
	Holder string `json:"holder"` // incarnation of the entry
	Term   uint64 `json:"term"`   // grows with every change of holder
	Beat   uint64 `json:"beat"`   // grows with every renewal
}

// lease is what this entry knows of one shard's lease. Times are of its own
// monotonic clock; the orders given under a lease carry its term as well, so
// that a paused holder that wakes does no harm.
type lease struct {
	shard  string
	holder string // own incarnation
	table  store.Table

	row       store.Row
	value     leaseRow
	firstSeen time.Time // when this version of the row was first seen
	renewed   time.Time // before the newest renewal that took effect was sent
}

// held returns the term when this entry holds the lease at the given time.
func (l *lease) held(now time.Time) (term uint64, ok bool) {
	mine := l.value.Holder == l.holder && !l.renewed.IsZero()
	return l.value.Term, mine && now.Sub(l.renewed) < leaseTime-safety
}

// step reads the row and renews, takes or leaves the lease. Errors leave it as
// it is; a write whose answer was lost is recognised by the next read.
func (l *lease) step(ctx context.Context) error {
	sent := time.Now()
	row, err := l.table.Get(ctx, keyPrefix+l.shard)
	switch {
	case fault.Is(err, fault.KindNotFound):
		l.row = store.Row{}
		return l.write(ctx, leaseRow{Holder: l.holder, Term: l.value.Term + 1}, sent)
	case err != nil:
		return err
	}
	if err := l.see(row, sent); err != nil {
		return err
	}
	next := l.value
	switch {
	case l.value.Holder == l.holder:
		next.Beat++
	case time.Since(l.firstSeen) >= leaseTime:
		next = leaseRow{Holder: l.holder, Term: l.value.Term + 1}
	default:
		return nil
	}
	return l.write(ctx, next, time.Now())
}

// see takes in the row as read. A row of our own that we have not confirmed
// yet came from a write whose answer was lost; it counts from when it is read.
func (l *lease) see(row store.Row, asked time.Time) error {
	if row.Version == l.row.Version {
		return nil
	}
	var value leaseRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return fault.New(fault.KindInternal, "planner.lease", l.shard, err)
	}
	l.row, l.value, l.firstSeen = row, value, time.Now()
	if value.Holder == l.holder {
		l.renewed = asked
	}
	return nil
}

func (l *lease) write(ctx context.Context, next leaseRow, sent time.Time) error {
	raw, err := json.Marshal(next)
	if err != nil {
		return err
	}
	var row store.Row
	if l.row.Version == "" {
		row, err = l.table.PutIfAbsent(ctx, keyPrefix+l.shard, raw)
	} else {
		row, err = l.table.CompareAndSet(ctx, keyPrefix+l.shard, l.row.Version, raw)
	}
	if err != nil {
		return err
	}
	l.row, l.value, l.firstSeen, l.renewed = row, next, time.Now(), sent
	return nil
}
