package view

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// outageCase is a case of two watchers in a bubble: other is in the same region as w.
type outageCase struct {
	name string
	play func(t *testing.T, w, other *testWatcher)
}

// failFor lets a watcher's reads fail for some time. If it runs in the background, call
// synctest.Wait after that time.
func (r *testWatcher) failFor(d time.Duration) {
	const retry = 500 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(retry) {
		r.failRefresh()
	}
}

// TestOutageOfOneEntryKeepsLeftServer cuts one of two entries from the store. The other, which the
// store answers, must not offer a server that left meanwhile, and the first one must not for longer than
// its own outage explains.
func TestOutageOfOneEntryKeepsLeftServer(t *testing.T) {
	const cut = 3 * time.Second
	for _, c := range []outageCase{
		{"an entry that was cut off longer brings the server back", func(t *testing.T, w, other *testWatcher) {
			go other.failFor(2 * cut)
			w.failFor(cut)
			w.refresh(t, 2, "a") // the server "b" has left
			w.assertServers(t, "a", "b")
			time.Sleep(outageGrace)
			w.refresh(t, 3, "a")
			w.assertServers(t, "a")
			time.Sleep(cut)
			synctest.Wait()
			w.apply(t, other.refresh(t, 4, "a"))
			w.assertServers(t, "a")
			w.refresh(t, 5, "a")
			w.assertServers(t, "a")
		}},
		{"a longer outage of another entry adds to the grace", func(t *testing.T, w, other *testWatcher) {
			go other.failFor(cut + outageGrace/2)
			w.failFor(cut)
			w.refresh(t, 2, "a")
			time.Sleep(outageGrace / 2)
			w.refresh(t, 2, "a")
			w.assertServers(t, "a", "b")
			time.Sleep(outageGrace / 2)
			synctest.Wait()
			w.apply(t, other.refresh(t, 3, "a"))
			w.refresh(t, 4, "a")
			w.assertServers(t, "a")
		}},
		{"the list of an entry that read all the while is taken for the end of an outage", func(t *testing.T, w, other *testWatcher) {
			w.SetRegion("other")
			go w.failFor(cut)
			for position := int64(2); position < 10; position++ {
				time.Sleep(cut / 6)
				other.refresh(t, position, "a")
			}
			synctest.Wait()
			w.apply(t, other.shared)
			w.assertServers(t, "a")
		}},
		{"a server that another entry keeps counts as registered", func(t *testing.T, w, other *testWatcher) {
			go other.failFor(cut)
			time.Sleep(cut)
			w.refresh(t, 2, "a")
			time.Sleep(time.Second)
			synctest.Wait()
			w.apply(t, other.refresh(t, 3, "a"))
			w.assertServers(t, "a")
		}},
		{"a short outage of another entry alone is believed for long", func(t *testing.T, w, other *testWatcher) {
			other.failFor(time.Second)
			w.apply(t, other.refresh(t, 2, "a"))
			w.assertServers(t, "a", "b")
			time.Sleep(maxUnconfirmedUse - time.Second)
			w.refresh(t, 3, "a")
			w.assertServers(t, "a")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, other := newTestWatcher(), newTestWatcher()
				const reads = 4 // so that the start of the entries no longer counts
				for range reads {
					time.Sleep(time.Second)
					w.apply(t, other.refresh(t, 1, "a", "b"))
				}
				c.play(t, w, other)
				synctest.Wait()
			})
		})
	}
}

// TestKeptServerIsLookedForWhenItsGraceEnds reads the list when the grace of a server ends, although the next
// read is due later.
func TestKeptServerIsLookedForWhenItsGraceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestWatcher()
		w.refresh(t, 1, "a")
		time.Sleep(minExpiryGap)
		w.failRefresh()
		w.refresh(t, 2)
		w.assertServers(t, "a")
		later := func(attempted, _ time.Time) time.Time { return attempted.Add(time.Hour) }
		assert.Equal(t, w.nextRead(time.Now(), later), time.Now().Add(outageGrace))
		time.Sleep(outageGrace)
		w.refresh(t, 3)
		w.assertServers(t)
	})
}
