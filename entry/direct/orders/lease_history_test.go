package orders

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/common/fault"
)

// TestLeaseHoldersNeverOverlap generates histories of three entries that freeze,
// restart and release the lease, with a store that fails, loses answers and delays
// writes. Between two lease holders must be at least the lease gap, and the fencing
// token must increase with every change of lease holder.
func TestLeaseHoldersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { playLeaseHistory(t, newTable(), func() {}) })
}

// playLeaseHistory plays one history and asserts that no two entries hold the lease too close to
// each other. It calls disturb before each step of an entry.
func playLeaseHistory(t *rapid.T, table *fakeTable, disturb func()) {
	clock := &fakeClock{now: time.Hour}
	names := []string{"a", "b", "c"}
	leases := make([]*lease, len(names))
	for i, name := range names {
		leases[i] = newLease(table, name, clock)
	}
	h := history{t: t, lastHeld: map[string]time.Duration{}}
	for range rapid.IntRange(50, 300).Draw(t, "turns") {
		i := rapid.IntRange(0, len(names)-1).Draw(t, "entry")
		injectFaults(t, table)
		disturb()
		switch rapid.IntRange(0, 40).Draw(t, "what") {
		case 0:
			leases[i] = newLease(table, names[i], clock)
		case 1:
			leases[i].close()
			_ = leases[i].release(context.Background(), nil) // may fail; the others then wait longer
			leases[i] = newLease(table, names[i], clock)
		default:
			_, _ = leases[i].step(context.Background()) // may fail
		}
		clock.add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
		for _, l := range leases {
			h.check(l, clock.read())
		}
	}
}

// history records when each entry last held the lease, and the newest lease holder
// with its fencing token.
type history struct {
	t        *rapid.T
	lastHeld map[string]time.Duration
	holder   string
	token    int64
}

// check asserts that l may hold the lease now, if it does, and records it.
func (h *history) check(l *lease, now time.Duration) {
	token, left := l.held()
	if left <= 0 {
		return
	}
	for other, at := range h.lastHeld {
		assert.Assert(h.t, other == l.self || now-at >= testGap, "%s holds %v after %s", l.self, now-at, other)
	}
	assert.Assert(h.t, token > h.token || (token == h.token && l.self == h.holder), "token %d of %s after %d of %s", token, l.self, h.token, h.holder)
	h.lastHeld[l.self], h.holder, h.token = now, l.self, token
}

func injectFaults(t *rapid.T, table *fakeTable) {
	table.fail, table.lose, table.delay = nil, false, false
	switch rapid.IntRange(0, 12).Draw(t, "store") {
	case 0:
		table.fail = fault.Newf(fault.KindUnavailable, "call", "", "down")
	case 1:
		table.lose = true
	case 2:
		table.delay = true
	case 3, 4:
		table.deliver()
	}
}

// issuer is an entry that issues orders while it holds the lease.
type issuer struct {
	*lease
	orderTimes orderTimes
}

// handover returns the state to pass to the next lease holder.
func (o *issuer) handover(now time.Duration) *Handover {
	if !o.knowsRecentOrders() {
		return nil
	}
	h := &Handover{Orders: o.orderTimes.agesWithin(testGap, now)}
	addFenced(h.Orders, o.fencedUntil(), testGap, now)
	return h
}

// TestHandoverEnforcesGapPerServer generates histories of three entries that release
// the lease with a handover, resign when the store fails, or yield to another entry, and
// notify some of the other entries. No server may receive orders from two lease holders within the gap,
// and no two entries may hold the lease at once.
func TestHandoverEnforcesGapPerServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock, table := &fakeClock{now: time.Hour}, newTable()
		names, servers := []string{"a", "b", "c"}, []string{"s1", "s2", "s3"}
		issuers := make([]*issuer, len(names))
		for i, name := range names {
			issuers[i] = &issuer{newLease(table, name, clock), newOrderTimes()}
		}
		lastOrder, lastIssuer := map[string]time.Duration{}, map[string]string{}
		for range rapid.IntRange(50, 300).Draw(t, "turns") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "entry")
			o := issuers[i]
			injectFaults(t, table)
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				issuers[i] = &issuer{newLease(table, names[i], clock), newOrderTimes()}
			case 1:
				o.close()
				_ = o.release(context.Background(), o.handover(clock.read())) // may fail; the others then wait longer
				issuers[i] = &issuer{newLease(table, names[i], clock), newOrderTimes()}
			default:
				_, err := o.step(context.Background())
				notice := LeaseNotice{FencingToken: o.value.FencingToken, Held: o.mine, Version: o.version()}
				deferring := rapid.IntRange(0, 3).Draw(t, "defers") == 0
				o.defers = func() bool { return deferring }
				if token, ok := o.yield(); ok {
					notice = LeaseNotice{FencingToken: token, Handover: o.handover(clock.read())}
				} else if token, ok := o.resign(); err != nil && ok {
					notice = LeaseNotice{FencingToken: token, Handover: o.handover(clock.read())}
				} else if !o.mine {
					break
				}
				for k, other := range issuers {
					if k != i && rapid.Bool().Draw(t, "hears") {
						other.handleNotice(o.self, notice)
					}
				}
			}
			clock.add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			holders := 0
			for _, o := range issuers {
				if _, left := o.held(); left <= 0 {
					continue
				}
				holders++
				server, now := servers[rapid.IntRange(0, 2).Draw(t, "server")], clock.read()
				if now < o.fencedUntil()[server] {
					continue
				}
				assert.Assert(t, lastIssuer[server] == o.self || lastIssuer[server] == "" || now-lastOrder[server] >= testGap,
					"%s orders %s %v after %s", o.self, server, now-lastOrder[server], lastIssuer[server])
				lastOrder[server], lastIssuer[server] = now, o.self
				o.orderTimes.begin(server, now)
				o.orderTimes.end(server, now)
			}
			assert.Assert(t, holders <= 1)
		}
	})
}
