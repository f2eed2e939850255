package orders

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/common/fault"
)

// TestHoldersNeverTakeTurns draws histories of three entries with freezes,
// restarts, releases and a store that fails, loses answers and writes late. No
// two entries may hold the lease within the gap of each other, and the term
// grows with every change.
func TestHoldersNeverTakeTurns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock, table := &fakeClock{now: time.Hour}, newTable()
		names := []string{"a", "b", "c"}
		leases := make([]*lease, len(names))
		for i, name := range names {
			leases[i] = newLease(table, name, clock)
		}
		h := history{t: t, last: map[string]time.Duration{}}
		for range rapid.IntRange(50, 300).Draw(t, "turns") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "entry")
			disturb(t, table)
			switch rapid.IntRange(0, 40).Draw(t, "what") {
			case 0:
				leases[i] = newLease(table, names[i], clock)
			case 1:
				leases[i].close()
				_ = leases[i].release(context.Background(), nil) // may fail: then others wait longer
				leases[i] = newLease(table, names[i], clock)
			default:
				_, _ = leases[i].step(context.Background()) // may fail
			}
			clock.add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			for _, l := range leases {
				h.note(l, clock.read())
			}
		}
	})
}

// history is who held the lease when.
type history struct {
	t    *rapid.T
	last map[string]time.Duration
	who  string
	term int64
}

func (h *history) note(l *lease, now time.Duration) {
	term, left := l.held()
	if left <= 0 {
		return
	}
	for other, at := range h.last {
		assert.Assert(h.t, other == l.self || now-at >= testGap, "%s holds %v after %s", l.self, now-at, other)
	}
	assert.Assert(h.t, term > h.term || (term == h.term && l.self == h.who), "term %d of %s after %d of %s", term, l.self, h.term, h.who)
	h.last[l.self], h.who, h.term = now, l.self, term
}

func disturb(t *rapid.T, table *fakeTable) {
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

// orderer is an entry that gives orders while it holds the lease.
type orderer struct {
	*lease
	given given
}

// handover is what it tells the next one.
func (o *orderer) handover(now time.Duration) *Handover {
	if !o.knowsOrders() {
		return nil
	}
	h := &Handover{Orders: o.given.within(testGap, now)}
	pass(h.Orders, o.barred(), testGap, now)
	return h
}

// TestHandoverKeepsHoldersApartAtEachServer draws histories of three entries that
// release the lease with a handover, or give it up when the store fails and tell
// those who hear it. No server may get orders of two holders within the gap, and
// no two hold the lease at once.
func TestHandoverKeepsHoldersApartAtEachServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock, table := &fakeClock{now: time.Hour}, newTable()
		names, servers := []string{"a", "b", "c"}, []string{"s1", "s2", "s3"}
		all := make([]*orderer, len(names))
		for i, name := range names {
			all[i] = &orderer{newLease(table, name, clock), newGiven()}
		}
		last, who := map[string]time.Duration{}, map[string]string{}
		for range rapid.IntRange(50, 300).Draw(t, "turns") {
			i := rapid.IntRange(0, len(names)-1).Draw(t, "entry")
			o := all[i]
			disturb(t, table)
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				all[i] = &orderer{newLease(table, names[i], clock), newGiven()}
			case 1:
				o.close()
				_ = o.release(context.Background(), o.handover(clock.read())) // may fail: then others wait longer
				all[i] = &orderer{newLease(table, names[i], clock), newGiven()}
			default:
				_, err := o.step(context.Background())
				note := LeaseNote{Term: o.value.Term, Held: o.mine, Version: o.version()}
				if term, ok := o.resign(); err != nil && ok {
					note = LeaseNote{Term: term, Handover: o.handover(clock.read())}
				} else if !o.mine {
					break
				}
				for k, other := range all {
					if k != i && rapid.Bool().Draw(t, "hears") {
						other.hear(o.self, note)
					}
				}
			}
			clock.add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			holders := 0
			for _, o := range all {
				if _, left := o.held(); left <= 0 {
					continue
				}
				holders++
				server, now := servers[rapid.IntRange(0, 2).Draw(t, "server")], clock.read()
				if now < o.barred()[server] {
					continue
				}
				assert.Assert(t, who[server] == o.self || who[server] == "" || now-last[server] >= testGap,
					"%s orders %s %v after %s", o.self, server, now-last[server], who[server])
				last[server], who[server] = now, o.self
				o.given.begin(server, now)
				o.given.end(server, now)
			}
			assert.Assert(t, holders <= 1)
		}
	})
}
