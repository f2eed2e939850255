package store_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/objects"
	"peridotchute.example/standin/table"
	"peridotchute.example/standin/vmlist"
	"peridotchute.example/store"
)

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func newTable(t *testing.T) (*table.Server, store.Table) {
	t.Helper()
	standin := table.New()
	return standin, store.NewTable(store.TableSettings{URL: serve(t, standin), Name: "t"})
}

func TestTableConditions(t *testing.T) {
	ctx := context.Background()
	_, tab := newTable(t)
	_, err := tab.Get(ctx, "config/head")
	assert.Assert(t, fault.Is(err, fault.KindNotFound), "%v", err)
	first, err := tab.PutIfAbsent(ctx, "config/head", []byte("a"))
	assert.NilError(t, err)
	_, err = tab.PutIfAbsent(ctx, "config/head", []byte("b"))
	assert.Assert(t, fault.Is(err, fault.KindConflict), "%v", err)
	second, err := tab.CompareAndSet(ctx, "config/head", first.Version, []byte("c"))
	assert.NilError(t, err)
	_, err = tab.CompareAndSet(ctx, "config/head", first.Version, []byte("d"))
	assert.Assert(t, fault.Is(err, fault.KindConflict), "%v", err)
	got, err := tab.Get(ctx, "config/head")
	assert.NilError(t, err)
	assert.DeepEqual(t, got, second)
	assert.Assert(t, fault.Is(tab.Delete(ctx, "config/head", first.Version), fault.KindConflict))
	assert.NilError(t, tab.Delete(ctx, "config/head", second.Version))
}

func TestTableListPages(t *testing.T) {
	ctx := context.Background()
	_, tab := newTable(t)
	for _, key := range []string{"a/3", "a/1", "b/1", "a/2", "ab/1"} {
		_, err := tab.Put(ctx, key, []byte(key))
		assert.NilError(t, err)
	}
	rows, err := tab.List(ctx, "a/", "", 2)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 2)
	assert.Equal(t, rows[1].Key, "a/2")
	rows, err = tab.List(ctx, "a/", "a/2", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, string(rows[0].Value), "a/3")
}

func TestLostWriteResponseIsUnknown(t *testing.T) {
	ctx := context.Background()
	standin, tab := newTable(t)
	standin.Set(faults.Settings{LoseNext: 1, Match: "PutItem"})
	_, err := tab.PutIfAbsent(ctx, "config/head", []byte("a"))
	assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
	row, err := tab.Get(ctx, "config/head")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "a")
	assert.Equal(t, standin.Counts().Writes, int64(1), "the write was sent again")
}

func TestTableDown(t *testing.T) {
	ctx := context.Background()
	standin, tab := newTable(t)
	standin.Set(faults.Settings{Down: true})
	_, err := tab.Put(ctx, "config/head", []byte("a"))
	assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
	_, err = tab.Get(ctx, "config/head")
	assert.Assert(t, fault.Is(err, fault.KindUnavailable), "%v", err)
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	s := httptest.NewServer(table.New())
	s.Close()
	tab := store.NewTable(store.TableSettings{URL: s.URL, Name: "t"})
	_, err := tab.Put(context.Background(), "config/head", []byte("a"))
	assert.Assert(t, fault.Is(err, fault.KindUnavailable), "%v", err)
}

func TestSlowWriteIsUnknown(t *testing.T) {
	standin := table.New()
	standin.Set(faults.Settings{SlowMS: 1000})
	tab := store.NewTable(store.TableSettings{URL: serve(t, standin), Name: "t", Timeout: 20})
	_, err := tab.Put(context.Background(), "config/head", []byte("a"))
	assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
}

func TestFrozenReplicaHidesLaterWrites(t *testing.T) {
	ctx := context.Background()
	standin, tab := newTable(t)
	_, err := tab.Put(ctx, "config/head", []byte("old"))
	assert.NilError(t, err)
	standin.SetReplica(table.Replica{Frozen: true})
	_, err = tab.Put(ctx, "config/head", []byte("new"))
	assert.NilError(t, err)
	row, err := tab.Get(ctx, "config/head")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "old")
}

func TestObjects(t *testing.T) {
	ctx := context.Background()
	standin := objects.New()
	store := store.NewObjects(store.ObjectSettings{URL: serve(t, standin), Bucket: "b"})
	_, err := store.Get(ctx, "config/snapshot/1")
	assert.Assert(t, fault.Is(err, fault.KindNotFound), "%v", err)
	assert.NilError(t, store.Put(ctx, "config/snapshot/1", []byte("body")))
	body, err := store.Get(ctx, "config/snapshot/1")
	assert.NilError(t, err)
	assert.Equal(t, string(body), "body")
	standin.Set(faults.Settings{LoseResponses: true})
	err = store.Put(ctx, "config/snapshot/1", []byte("body"))
	assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
}

func TestVMListLags(t *testing.T) {
	ctx := context.Background()
	standin := vmlist.New()
	list := store.NewVMs(store.VMSettings{URL: serve(t, standin)})
	vm := store.VM{Name: "w1", Role: "backend", Zone: "z", Pool: "p", DataAddress: "127.0.0.1:1", RPCAddress: "127.0.0.1:2", State: store.VMLive}
	standin.SetVMs(0, vm)
	leaving := vm
	leaving.State = store.VMLeaving
	standin.SetVMs(time.Hour, leaving)
	got, err := list.List(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, []store.VM{vm})
}

// TestUnchangedListIsNotResent checks that an unchanged list is not sent again, and
// that a caller that modifies a returned list does not modify the cached one.
func TestUnchangedListIsNotResent(t *testing.T) {
	ctx := context.Background()
	standin := vmlist.New()
	var statuses []int
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		standin.ServeHTTP(rec, r)
		statuses = append(statuses, rec.Code)
		maps.Copy(w.Header(), rec.Header())
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	defer proxy.Close()
	list := store.NewVMs(store.VMSettings{URL: proxy.URL})
	vm := store.VM{Name: "w1", Role: "backend", Zone: "z", Pool: "p", DataAddress: "127.0.0.1:1", RPCAddress: "127.0.0.1:2", State: store.VMLive}
	read := func() {
		got, err := list.List(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, []store.VM{vm})
		got[0].Name = "changed by the reader"
	}
	standin.SetVMs(0, vm)
	read()
	read()
	vm.State = store.VMLeaving
	standin.SetVMs(0, vm)
	read()
	assert.DeepEqual(t, statuses, []int{http.StatusOK, http.StatusNotModified, http.StatusOK})
}
