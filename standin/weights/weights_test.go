package weights

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
)

func TestStoreCountsLoads(t *testing.T) {
	store := New(Options{LoadsPerSecond: 2, ConcurrentLoads: 1, AdapterLoads: 1})
	srv := httptest.NewServer(store)
	defer srv.Close()
	load := Loader(srv.URL, http.DefaultClient)
	ctx := context.Background()
	var group errgroup.Group
	for _, a := range []wire.Artifact{
		{Kind: wire.KindModel, Name: "a", Version: "1"},
		{Kind: wire.KindModel, Name: "b/c", Version: "1"},
		{Kind: wire.KindAdapter, Name: "d", Version: "1"},
	} {
		group.Go(func() error { return load(ctx, a) })
	}
	assert.NilError(t, group.Wait())
	counts := store.Counts()
	assert.Equal(t, counts.Models, 2)
	assert.Equal(t, counts.Adapters, 1)
	assert.ErrorContains(t, load(ctx, wire.Artifact{Kind: "other"}), "400")
}
