package orders

import (
	"context"

	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
	"peridotchute.example/store"
)

const (
	// firstEra is the highest era of a store that may not have returned from a copy yet.
	firstEra = 1
	// unknownHolder stands for the previous lease holder whose row the store has lost.
	unknownHolder = "unknown"
)

// outdated reports whether the row was written before the store returned from an older copy.
// Later rows are lost then: other entries may have held the lease, and one may still hold it.
// That is also so if there is no row, unless the lease was never held. l.mu is held.
func (l *lease) outdated() bool { return l.value.Era < l.row.Era }

// neverHeld reports whether no entry has held the lease, as far as this process can know.
// l.mu is held.
func (l *lease) neverHeld() bool {
	return l.row.Version == "" && l.row.Era <= firstEra && !l.returned && l.highestToken() == 0
}

// highestToken returns the highest fencing token that this process knows of. l.mu is held.
func (l *lease) highestToken() int64 {
	return max(l.value.FencingToken, l.readToken, l.noticeToken, l.token)
}

// nextToken returns the fencing token with which this entry would acquire the lease. Once the
// store has returned from a copy, that is at least the position in the store's history at
// which the row was read: earlier tokens are lower, also those that nobody knows of anymore.
// l.mu is held.
func (l *lease) nextToken() int64 {
	token := l.highestToken()
	replaced := l.row.Version != "" && l.outdated()
	if l.row.Era > firstEra || l.returned || replaced {
		token = max(token, fleet.Position{Era: l.row.Era, Version: l.row.Latest}.Number())
	}
	return token + 1
}

// previousOwner returns the lease holder before an acquisition that is about to be recorded;
// empty if there was none. l.mu is held.
func (l *lease) previousOwner() string {
	switch {
	case l.mine:
		return l.self
	case l.value.Holder != "":
		return l.value.Holder
	case l.neverHeld():
		return ""
	}
	return unknownHolder
}

// read reads the row and reports whether it has changed since the previous read or write.
func (l *lease) read(ctx context.Context) (changed bool, err error) {
	row, err := l.table.Get(ctx, leaseKey)
	if fault.Is(err, fault.KindNotFound) {
		return l.applyAbsence(row), nil
	}
	if err != nil {
		return false, err
	}
	return l.applyRow(row)
}

// applyAbsence records that there is no row.
func (l *lease) applyAbsence(read store.Row) (changed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stale = false
	absent := store.Row{Key: leaseKey, Era: read.Era, Latest: read.Latest}
	if l.row.Key == absent.Key && l.row.Version == "" && l.row.Era == absent.Era {
		return false
	}
	l.noteEra(absent.Era)
	l.mine = l.mine && l.returned && l.left() > 0
	l.row, l.value, l.firstSeen = absent, leaseRow{}, l.clock()
	return true
}

// noteEra records the era of a read that is about to replace l.row. l.mu is held.
func (l *lease) noteEra(era int64) {
	wasRead := l.row.Key != ""
	l.returned = l.returned || wasRead && era > l.row.Era
}
