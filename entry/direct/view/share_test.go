package view

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
)

// directory answers with what the test sets.
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

// reader is a watcher with its store and what it has shared last.
type reader struct {
	*Watcher
	store  *directory
	shared Document
}

func newReader() *reader {
	r := &reader{store: &directory{}}
	r.Watcher = New(r.store, nil, nil)
	r.OnRead(func(d Document) { r.shared = d })
	return r
}

// reads lets the watcher read the registrations of the named servers.
func (r *reader) reads(t *testing.T, position int64, ids ...string) Document {
	t.Helper()
	r.store.reg, r.store.err = fleet.Registry{Position: position}, nil
	for _, id := range ids {
		r.store.reg.Servers = append(r.store.reg.Servers, fleet.Server{ID: id, Residents: []fleet.Resident{{Model: "m"}}})
	}
	r.Refresh(context.Background())
	return r.shared
}

func (r *reader) fails() {
	r.store.err = errors.New("down")
	r.Refresh(context.Background())
}

func (r *reader) takes(t *testing.T, d Document) {
	t.Helper()
	assert.NilError(t, r.TakeDocument(d))
}

func (r *reader) knows(t *testing.T, ids ...string) {
	t.Helper()
	known := []string{}
	for _, s := range r.Current().Servers {
		known = append(known, s.ID)
	}
	assert.DeepEqual(t, known, append([]string{}, ids...))
}

func TestServersOfAPeer(t *testing.T) {
	a, b := newReader(), newReader()
	old := a.reads(t, 1, "a", "b")
	b.takes(t, old)
	assert.DeepEqual(t, b.Current().Servers, a.Current().Servers)
	assert.Assert(t, !b.Current().ServersRead.IsZero())
	b.takes(t, a.reads(t, 5, "b", "c"))
	b.knows(t, "b", "c")
	b.takes(t, old)
	b.knows(t, "b", "c")
	read := b.Current().ServersRead
	b.takes(t, Document{Kind: KindServers, Version: 5, Body: old.Body, Age: time.Hour})
	b.knows(t, "b", "c")
	assert.Equal(t, b.Current().ServersRead, read)
	assert.Assert(t, b.TakeDocument(Document{Kind: KindServers, Version: 9, Body: []byte("[")}) != nil)
	b.knows(t, "b", "c")
}

func TestAgeShortensRemainingTimes(t *testing.T) {
	got := aged([]fleet.Server{{Remaining: time.Minute, Cold: time.Second}, {Remaining: time.Second}, {}}, 10*time.Second)
	assert.DeepEqual(t, got, []fleet.Server{{Remaining: 50 * time.Second}, {Remaining: time.Millisecond}, {}})
}

func TestLapsedRegistrationsStayKnown(t *testing.T) {
	t.Run("for who learns of the outage from a peer", func(t *testing.T) {
		a, b, newcomer := newReader(), newReader(), newReader()
		b.takes(t, a.reads(t, 1, "a"))
		a.fails()
		after := a.reads(t, 2)
		a.knows(t, "a")
		b.takes(t, after)
		b.knows(t, "a")
		b.reads(t, 3)
		b.knows(t, "a")
		newcomer.takes(t, after)
		newcomer.knows(t, "a")
	})
	t.Run("no longer than the grace", func(t *testing.T) {
		a, b := newReader(), newReader()
		b.takes(t, a.reads(t, 1, "a"))
		a.fails()
		after := a.reads(t, 2)
		after.Age += lapseGrace
		b.takes(t, after)
		b.reads(t, 3)
		b.knows(t)
	})
	t.Run("not when a peer read all the time", func(t *testing.T) {
		a, b := newReader(), newReader()
		b.takes(t, a.reads(t, 1, "a", "b"))
		b.fails()
		b.takes(t, a.reads(t, 2, "a"))
		b.knows(t, "a")
		b.reads(t, 3)
		b.knows(t)
	})
	t.Run("when the peer read no more than this entry", func(t *testing.T) {
		a, b := newReader(), newReader()
		old := a.reads(t, 1, "a")
		old.Age += 2 * lapseLeast
		b.takes(t, old)
		b.fails()
		b.takes(t, newReader().reads(t, 2))
		b.knows(t, "a")
	})
}

func TestConfigurationOfAPeer(t *testing.T) {
	r := newReader()
	config := func(version int64, raw ...byte) error {
		return r.TakeDocument(Document{Kind: KindConfig, Version: version, Body: raw})
	}
	assert.NilError(t, config(7, 7))
	assert.Equal(t, r.Current().Config.Version, int64(7))
	assert.NilError(t, config(6, 6))
	assert.NilError(t, config(8, 6), "the body counts, not what was announced")
	assert.Equal(t, r.Current().Config.Version, int64(7))
	assert.Assert(t, config(9) != nil)
	assert.Equal(t, r.Current().Config.Version, int64(7))
	assert.Assert(t, r.TakeDocument(Document{Kind: "other"}) != nil)
}
