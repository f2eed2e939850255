package view

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
)

// directory is a fleet.Directory with configurable results.
type directory struct {
	fleet.Directory
	reg fleet.Registry
	err error
}

func (d *directory) Servers(context.Context) (fleet.Registry, error) { return d.reg, d.err }

func (d *directory) DecodeConfig(raw []byte) (*fleet.Config, error) {
	if len(raw) == 0 {
		return nil, fault.Newf(fault.KindInvalid, "test", "", "empty")
	}
	return &fleet.Config{Version: int64(raw[0])}, nil
}

// testWatcher is a Watcher with its store and the last document that it shared.
type testWatcher struct {
	*Watcher
	store  *directory
	shared Document
}

func newTestWatcher() *testWatcher {
	r := &testWatcher{store: &directory{}}
	r.Watcher = New(r.store, nil, nil)
	r.OnRead(func(d Document) { r.shared = d })
	return r
}

// refresh makes the watcher read registrations of the given servers and returns
// the last document that it shared.
func (r *testWatcher) refresh(t *testing.T, position int64, ids ...string) Document {
	t.Helper()
	r.store.reg, r.store.err = fleet.Registry{Position: fleet.Position{Version: position}}, nil
	for _, id := range ids {
		r.store.reg.Servers = append(r.store.reg.Servers, fleet.Server{ID: id, Residents: []fleet.Resident{{Model: "m"}}})
	}
	r.Refresh(context.Background())
	return r.shared
}

func (r *testWatcher) failRefresh() {
	r.store.err = errors.New("down")
	r.Refresh(context.Background())
}

func (r *testWatcher) apply(t *testing.T, d Document) {
	t.Helper()
	assert.NilError(t, r.ApplyDocument(d))
}

func (r *testWatcher) assertServers(t *testing.T, ids ...string) {
	t.Helper()
	known := []string{}
	for _, s := range r.Current().Servers {
		known = append(known, s.ID)
	}
	assert.DeepEqual(t, known, append([]string{}, ids...))
}

func TestServersFromPeer(t *testing.T) {
	a, b := newTestWatcher(), newTestWatcher()
	old := a.refresh(t, 1, "a", "b")
	b.apply(t, old)
	assert.DeepEqual(t, b.Current().Servers, a.Current().Servers)
	assert.Assert(t, !b.Current().ServersRead.IsZero())
	b.apply(t, a.refresh(t, 5, "b", "c"))
	b.assertServers(t, "b", "c")
	b.apply(t, old)
	b.assertServers(t, "b", "c")
	read := b.Current().ServersRead
	b.apply(t, Document{Kind: KindServers, Version: 5, Body: old.Body, Age: time.Hour})
	b.assertServers(t, "b", "c")
	assert.Equal(t, b.Current().ServersRead, read)
	assert.Assert(t, b.ApplyDocument(Document{Kind: KindServers, Version: 9, Body: []byte("[")}) != nil)
	b.assertServers(t, "b", "c")
}

func TestAgeShortensRemainingTimes(t *testing.T) {
	got := subtractAge([]fleet.Server{{Remaining: time.Minute, Cold: time.Second}, {Remaining: time.Second}, {}}, 10*time.Second)
	assert.DeepEqual(t, got, []fleet.Server{{Remaining: 50 * time.Second}, {Remaining: time.Millisecond}, {}})
}

func TestExpiredRegistrationsStayKnownAfterOutage(t *testing.T) {
	t.Run("for an entry that learns of the outage from a peer", func(t *testing.T) {
		a, b, newcomer := newTestWatcher(), newTestWatcher(), newTestWatcher()
		b.apply(t, a.refresh(t, 1, "a"))
		a.failRefresh()
		after := a.refresh(t, 2)
		a.assertServers(t, "a")
		b.apply(t, after)
		b.assertServers(t, "a")
		b.refresh(t, 3)
		b.assertServers(t, "a")
		newcomer.apply(t, after)
		newcomer.assertServers(t, "a")
	})
	t.Run("only during the grace period", func(t *testing.T) {
		a, b := newTestWatcher(), newTestWatcher()
		b.apply(t, a.refresh(t, 1, "a"))
		a.failRefresh()
		after := a.refresh(t, 2)
		after.Age += outageGrace
		b.apply(t, after)
		b.refresh(t, 3)
		b.assertServers(t)
	})
	t.Run("not when a peer read throughout the outage", func(t *testing.T) {
		a, b := newTestWatcher(), newTestWatcher()
		b.apply(t, a.refresh(t, 1, "a", "b"))
		b.failRefresh()
		b.apply(t, a.refresh(t, 2, "a"))
		b.assertServers(t, "a")
		b.refresh(t, 3)
		b.assertServers(t)
	})
	t.Run("not when the store answered this entry during the peer's outage", func(t *testing.T) {
		a, b := newTestWatcher(), newTestWatcher()
		b.apply(t, a.refresh(t, 1, "a", "b"))
		a.failRefresh()
		b.refresh(t, 2, "a", "b")
		after := a.refresh(t, 3, "a")
		after.Age += outageGrace / 2 // so that the outage surely began before the read of b
		b.apply(t, after)
		a.assertServers(t, "a", "b")
		b.refresh(t, 4, "a")
		b.assertServers(t, "a")
	})
	t.Run("when the peer had not read either", func(t *testing.T) {
		a, b := newTestWatcher(), newTestWatcher()
		old := a.refresh(t, 1, "a")
		old.Age += 2 * minExpiryGap
		b.apply(t, old)
		b.failRefresh()
		b.apply(t, newTestWatcher().refresh(t, 2))
		b.assertServers(t, "a")
	})
}

// TestServerOfUnreadableRowStaysInUse has another writer replace the row of a known server. The
// server must not stay known, with what an earlier row said of it, for this entry or for one
// that learns of it from a peer.
func TestServerOfUnreadableRowStaysInUse(t *testing.T) {
	a, b := newTestWatcher(), newTestWatcher()
	b.apply(t, a.refresh(t, 1, "a", "b"))
	b.assertServers(t, "a", "b")
	a.store.reg = fleet.Registry{Position: fleet.Position{Version: 2}, Servers: []fleet.Server{{ID: "b"}}, Unreadable: []string{"a"}}
	a.Refresh(t.Context())
	a.assertServers(t, "b")
	b.apply(t, a.shared)
	b.assertServers(t, "b")
	b.apply(t, a.refresh(t, 3, "a", "b"))
	b.assertServers(t, "a", "b")
	a.failRefresh()
	a.store.reg, a.store.err = fleet.Registry{Position: fleet.Position{Version: 4}, Unreadable: []string{"a"}}, nil
	a.Refresh(t.Context())
	a.assertServers(t, "b") // the registration of b may have expired during the outage
}

// TestOddRowsMakeSharedListUnreadable reads thousands of unreadable rows with long keys, and then
// readable ones that are too large together. A peer must be able to decode each shared list, and
// a list that it could not is not sent.
func TestOddRowsMakeSharedListUnreadable(t *testing.T) {
	const oddRows, keyBytes = 20_000, 200
	a, b := newTestWatcher(), newTestWatcher()
	a.store.reg = fleet.Registry{Position: fleet.Position{Version: 1}, Servers: []fleet.Server{{ID: "a"}}}
	for i := range oddRows {
		a.store.reg.Unreadable = append(a.store.reg.Unreadable, fmt.Sprintf("%0*d", keyBytes, i)+strings.Repeat("\x00", keyBytes))
	}
	a.Refresh(t.Context())
	b.apply(t, a.shared)
	b.assertServers(t, "a")

	a.store.reg = fleet.Registry{Position: fleet.Position{Version: 2}}
	names := slices.Repeat([]string{strings.Repeat("m", 200)}, 300)
	for i := range 200 {
		a.store.reg.Servers = append(a.store.reg.Servers, fleet.Server{ID: fmt.Sprintf("i-%03d", i), OnDisk: names})
	}
	a.Refresh(t.Context())
	assert.Equal(t, len(a.Current().Servers), 200)
	assert.Equal(t, a.shared.Version, int64(1), "the large list is not sent")
	b.apply(t, a.refresh(t, 3, "b"))
	b.assertServers(t, "b")
}

// TestNamesOfOddRowsAreKept has another writer leave rows under ever new keys. The entry must not
// remember all of them.
func TestNamesOfOddRowsAreKept(t *testing.T) {
	w := newTestWatcher()
	for read := range 3 * maxUnreadable {
		w.ApplyServers(fleet.Registry{Position: fleet.Position{Version: int64(read + 1)}, Unreadable: []string{fmt.Sprintf("i-%d", read), "stays"}}, time.Now(), "store")
		assert.Assert(t, len(w.unreadable) <= maxUnreadable, "%d names kept", len(w.unreadable))
		assert.Assert(t, w.unreadable["stays"])
	}
}

func TestConfigurationFromPeer(t *testing.T) {
	r := newTestWatcher()
	config := func(version int64, raw ...byte) error {
		return r.ApplyDocument(Document{Kind: KindConfig, Version: version, Body: raw})
	}
	assert.NilError(t, config(7, 7))
	assert.Equal(t, r.Current().Config.Version, int64(7))
	assert.NilError(t, config(6, 6))
	assert.NilError(t, config(8, 6), "the version in the body decides, not the announced one")
	assert.Equal(t, r.Current().Config.Version, int64(7))
	assert.Assert(t, config(9) != nil)
	assert.Equal(t, r.Current().Config.Version, int64(7))
	assert.Assert(t, r.ApplyDocument(Document{Kind: "other"}) != nil)
}

// TestFailedReadIsNotTold has reads of the registrations fail. The other entries are told of the first
// one of each series.
func TestFailedReadIsNotTold(t *testing.T) {
	r := newTestWatcher()
	var firsts []bool
	r.OnReadFailure(func(_ time.Time, first bool) { firsts = append(firsts, first) })
	fail := func() {
		r.store.err = errors.New("unavailable")
		r.Refresh(context.Background())
	}
	fail()
	fail()
	r.refresh(t, 1, "a")
	fail()
	assert.DeepEqual(t, firsts, []bool{true, false, true})
}
