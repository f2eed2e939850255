package publish_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/objects"
	"peridotchute.example/standin/table"
	"peridotchute.example/store"
)

// deployment is a stand-in platform with a table service and an object store.
type deployment struct {
	table    *table.Server
	objects  *objects.Server
	tableURL string
	objURL   string
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{table: table.New(), objects: objects.New()}
	ts := httptest.NewServer(d.table)
	t.Cleanup(ts.Close)
	os := httptest.NewServer(d.objects)
	t.Cleanup(os.Close)
	d.tableURL, d.objURL = ts.URL, os.URL
	return d
}

// newStore returns a new Store without a known version, as in a new process.
func (d *deployment) newStore() *publish.Store {
	return publish.New(
		store.NewTable(store.TableSettings{URL: d.tableURL, Name: "t"}),
		store.NewObjects(store.ObjectSettings{URL: d.objURL, Bucket: "b"}),
	)
}

func newConfiguration(models ...string) *config.Configuration {
	c := &config.Configuration{Models: []config.Model{}}
	for _, name := range models {
		c.Models = append(c.Models, config.Model{Name: name, Version: "1", Pool: "p", MemoryBytes: 1})
	}
	return c
}

func newChange(base uint64, id string, models ...string) publish.Change {
	return publish.Change{Base: base, Declared: newConfiguration(models...), ChangeID: id, Author: "ada", At: time.Unix(1, 0)}
}

func TestReadWithoutConfiguration(t *testing.T) {
	_, err := newDeployment(t).newStore().Read(context.Background())
	assert.Assert(t, fault.Is(err, fault.KindNotFound), "%v", err)
}

func TestNewProcessReadsEveryVersion(t *testing.T) {
	ctx := context.Background()
	d := newDeployment(t)
	writer := d.newStore()
	for v := range uint64(70) {
		accepted, err := writer.Accept(ctx, newChange(v, fmt.Sprint("c", v), "common", fmt.Sprint("m", v)))
		assert.NilError(t, err)
		got, err := d.newStore().Read(ctx)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, accepted)
	}
	old, err := d.newStore().Version(ctx, 34)
	assert.NilError(t, err)
	assert.Equal(t, old.Models[1].Name, "m33")
	history, err := d.newStore().History(ctx, 3)
	assert.NilError(t, err)
	assert.Equal(t, len(history), 3)
	assert.Equal(t, history[0].Version, uint64(70))
	assert.Equal(t, history[2].ChangeID, "c67")
}

func TestConcurrentAcceptConflicts(t *testing.T) {
	ctx := context.Background()
	d := newDeployment(t)
	one, two := d.newStore(), d.newStore()
	for v := range uint64(200) {
		var errs [2]error
		var wg sync.WaitGroup
		for i, s := range []*publish.Store{one, two} {
			wg.Go(func() {
				_, errs[i] = s.Accept(ctx, newChange(v, fmt.Sprintf("c%d-%d", v, i), fmt.Sprintf("m%d-%d", v, i)))
			})
		}
		wg.Wait()
		assert.Assert(t, (errs[0] == nil) != (errs[1] == nil), "version %d: %v, %v", v, errs[0], errs[1])
		conflictErr := errors.Join(errs[0], errs[1])
		assert.Assert(t, fault.Is(conflictErr, fault.KindConflict), "%v", conflictErr)
		var conflict *publish.Conflict
		assert.Assert(t, errors.As(conflictErr, &conflict))
		assert.Equal(t, conflict.Current.Version, v+1)
		assert.Assert(t, len(conflict.Changes) > 0)
	}
}

func TestAcceptAfterLostResponses(t *testing.T) {
	ctx := context.Background()
	d := newDeployment(t)
	s := d.newStore()
	for v := range uint64(3) {
		c := newChange(v, fmt.Sprint("c", v), fmt.Sprint("m", v))
		d.table.Set(faults.Settings{LoseNext: 2, Match: "PutItem"}) // responses to the writes of the record and the head
		accepted, err := s.Accept(ctx, c)
		assert.NilError(t, err)
		assert.Equal(t, accepted.Version, v+1)
		assert.Equal(t, d.table.Settings().LoseNext, 0)
		again, err := d.newStore().Accept(ctx, c)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, accepted)
	}
	_, err := s.Accept(ctx, newChange(2, "c2", "other"))
	assert.Assert(t, fault.Is(err, fault.KindInvalid), "%v", err)
}

func TestStaleReadsNeverDecrease(t *testing.T) {
	ctx := context.Background()
	d := newDeployment(t)
	s := d.newStore()
	_, err := s.Accept(ctx, newChange(0, "c0", "m0"))
	assert.NilError(t, err)
	d.table.SetReplica(table.Replica{Frozen: true})
	_, err = s.Accept(ctx, newChange(1, "c1", "m1"))
	assert.NilError(t, err)
	got, err := s.Read(ctx)
	assert.NilError(t, err)
	assert.Equal(t, got.Version, uint64(2))
	_, err = s.Accept(ctx, newChange(2, "c2", "m2"))
	assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
}

func TestAcceptWithObjectStoreDown(t *testing.T) {
	ctx := context.Background()
	d := newDeployment(t)
	s := d.newStore()
	_, err := s.Accept(ctx, newChange(0, "c0", "m0"))
	assert.NilError(t, err)
	d.objects.Set(faults.Settings{Down: true})
	_, err = s.Accept(ctx, newChange(1, "c1", "m1"))
	assert.NilError(t, err)
	got, err := d.newStore().Read(ctx)
	assert.NilError(t, err)
	assert.Equal(t, got.Version, uint64(2))
	assert.Equal(t, got.Models[0].Name, "m1")
}

func TestLargeConfigurationUsesObjectStore(t *testing.T) {
	ctx := context.Background()
	d := newDeployment(t)
	var names []string
	for i := range 8000 {
		names = append(names, fmt.Sprintf("model-with-a-long-name-%d", i))
	}
	accepted, err := d.newStore().Accept(ctx, newChange(0, "large", names...))
	assert.NilError(t, err)
	got, err := d.newStore().Read(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, accepted)
}

func TestBrokenRecordIsAnError(t *testing.T) {
	ctx := context.Background()
	d := newDeployment(t)
	accepted, err := d.newStore().Accept(ctx, newChange(0, "c0", "m0"))
	assert.NilError(t, err)
	tab := store.NewTable(store.TableSettings{URL: d.tableURL, Name: "t"})
	rows, err := tab.List(ctx, "config/delta/", "", 1)
	assert.NilError(t, err)
	for _, broken := range []string{"", "null", "{", `{"version":1,"change_id":"c0"}`} {
		_, err = tab.Put(ctx, rows[0].Key, []byte(broken))
		assert.NilError(t, err)
		_, err = d.newStore().Read(ctx)
		assert.Assert(t, err != nil, "%q was read as version %d", broken, accepted.Version)
	}
}
