package view

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
)

// newRecordingWatcher returns a Watcher and the records that it has written.
func newRecordingWatcher() (*testWatcher, *[]decisionlog.Record) {
	var records []decisionlog.Record
	r := &testWatcher{store: &directory{}}
	r.Watcher = New(r.store, nil, decisionlog.New(decisionlog.Options{
		Out:     io.Discard,
		Observe: func(written decisionlog.Record) { records = append(records, written) },
	}))
	r.OnRead(func(d Document) { r.shared = d })
	return r, &records
}

// lastRecord returns the last record of a type.
func lastRecord[T decisionlog.Record](t *testing.T, records []decisionlog.Record) T {
	t.Helper()
	for i := len(records) - 1; i >= 0; i-- {
		if r, ok := records[i].(T); ok {
			return r
		}
	}
	var none T
	t.Fatalf("no record %T", none)
	return none
}

// TestRecordsSayWhyServerStays lets registrations vanish in the ways in which a server stays in use, and
// expects a different record of each.
func TestRecordsSayWhyServerStays(t *testing.T) {
	t.Run("outage of the store", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, records := newRecordingWatcher()
			w.refresh(t, 1, "a")
			time.Sleep(minExpiryGap)
			w.failRefresh()
			time.Sleep(minExpiryGap / 4)
			w.refresh(t, 2)
			outage := lastRecord[decisionlog.StoreOutage](t, *records)
			assert.Equal(t, outage.Source, decisionlog.SourceStore)
			kept := lastRecord[decisionlog.ServerChanged](t, *records)
			assert.Equal(t, kept.Change, decisionlog.ServerKept)
			assert.Equal(t, kept.Server, "a")
			assert.Equal(t, kept.Source, decisionlog.SourceStore)
			assert.Equal(t, kept.Keep, outageGrace)
			assert.Assert(t, w.Current().Server("a").Kept)
		})
	})
	t.Run("list of another entry", func(t *testing.T) {
		a, b := newTestWatcher(), newTestWatcher()
		w, records := newRecordingWatcher()
		w.apply(t, a.refresh(t, 1, "a"))
		d := b.refresh(t, 2)
		d.Peer = "edge-2"
		w.apply(t, d)
		left := lastRecord[decisionlog.ServerChanged](t, *records)
		assert.Equal(t, left.Change, decisionlog.ServerLeft)
		assert.Equal(t, left.Source, "edge-2")
	})
	t.Run("lower version of the store", func(t *testing.T) {
		w, records := newRecordingWatcher()
		w.refresh(t, 9, "a")
		w.refresh(t, 3)
		back := lastRecord[decisionlog.StoreWentBack](t, *records)
		assert.Equal(t, back.Version, int64(3))
		assert.Equal(t, back.Previous, int64(9))
	})
	t.Run("newer list of a lower version", func(t *testing.T) {
		a := newTestWatcher()
		w, records := newRecordingWatcher()
		w.refresh(t, 9, "a")
		d := a.refresh(t, 3)
		d.Peer = "edge-2"
		w.apply(t, d)
		ignored := lastRecord[decisionlog.ServersIgnored](t, *records)
		assert.Equal(t, ignored.Version, int64(3))
		assert.Equal(t, ignored.Previous, int64(9))
		assert.Equal(t, ignored.Source, "edge-2")
	})
}
