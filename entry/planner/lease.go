package planner

import (
	"context"
	"encoding/json"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

const (
	leaseKeyPrefix = "cell/"
	leaseDuration  = 10 * time.Second // a lease expires if an entry sees no renewal for this long by its own clock
	renewInterval  = 2 * time.Second  // time between renewals
	safetyMargin   = 2 * time.Second  // the lease holder stops this long before others may acquire the lease
)

// leaseRow is the value of a shard's row.
type leaseRow struct {
	LeaseHolder  string `json:"holder"` // incarnation of the entry
	FencingToken uint64 `json:"term"`   // incremented whenever the lease is acquired
	Renewals     uint64 `json:"beat"`   // number of renewals under the fencing token
}

// lease is this entry's view of the lease of one shard. Times are read from the
// entry's monotonic clock. Orders carry the fencing token, so that those of a lease
// holder that was paused past its lease are declined.
type lease struct {
	shard       string
	incarnation string // of this entry
	table       store.Table

	row         store.Row
	value       leaseRow
	firstSeenAt time.Time // when this version of the row was first read
	renewedAt   time.Time // when the latest successful renewal was sent
}

// held returns the fencing token and reports whether this entry holds the lease
// at the given time.
func (l *lease) held(now time.Time) (fencingToken uint64, ok bool) {
	isHolder := l.value.LeaseHolder == l.incarnation && !l.renewedAt.IsZero()
	return l.value.FencingToken, isHolder && now.Sub(l.renewedAt) < leaseDuration-safetyMargin
}

// renewOrAcquire reads the lease's row. It renews the lease if this entry holds
// it, acquires it if it is absent or has expired, and does nothing otherwise.
// After an error the lease is unchanged; a write whose reply was lost is
// recognized by the next read.
func (l *lease) renewOrAcquire(ctx context.Context) error {
	sentAt := time.Now()
	row, err := l.table.Get(ctx, leaseKeyPrefix+l.shard)
	switch {
	case fault.Is(err, fault.KindNotFound):
		l.row = store.Row{}
		return l.write(ctx, leaseRow{LeaseHolder: l.incarnation, FencingToken: l.value.FencingToken + 1}, sentAt)
	case err != nil:
		return err
	}
	if err := l.update(row, sentAt); err != nil {
		return err
	}
	next := l.value
	switch {
	case l.value.LeaseHolder == l.incarnation:
		next.Renewals++
	case time.Since(l.firstSeenAt) >= leaseDuration:
		next = leaseRow{LeaseHolder: l.incarnation, FencingToken: l.value.FencingToken + 1}
	default:
		return nil
	}
	return l.write(ctx, next, time.Now())
}

// update stores the row if its version is new. A new version that names this
// entry comes from a write whose reply was lost: the lease then counts as renewed
// when the read was sent.
func (l *lease) update(row store.Row, requestedAt time.Time) error {
	if row.Version == l.row.Version {
		return nil
	}
	var value leaseRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return fault.New(fault.KindInternal, "planner.lease", l.shard, err)
	}
	l.row, l.value, l.firstSeenAt = row, value, time.Now()
	if value.LeaseHolder == l.incarnation {
		l.renewedAt = requestedAt
	}
	return nil
}

// write replaces the row that was last read, if it is still unchanged, and
// otherwise returns a conflict error.
func (l *lease) write(ctx context.Context, next leaseRow, sentAt time.Time) error {
	raw, err := json.Marshal(next)
	if err != nil {
		return err
	}
	var row store.Row
	if l.row.Version == "" {
		row, err = l.table.PutIfAbsent(ctx, leaseKeyPrefix+l.shard, raw)
	} else {
		row, err = l.table.CompareAndSet(ctx, leaseKeyPrefix+l.shard, l.row.Version, raw)
	}
	if err != nil {
		return err
	}
	l.row, l.value, l.firstSeenAt, l.renewedAt = row, next, time.Now(), sentAt
	return nil
}
