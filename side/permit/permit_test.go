package permit

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/table"
	"peridotchute.example/store"
)

func newTestPermits(t *testing.T, server *table.Server, policy config.Policy) *Permits {
	t.Helper()
	s := httptest.NewServer(server)
	t.Cleanup(s.Close)
	holder := config.NewHolder()
	holder.Offer(&config.Configuration{Version: 1, Policy: policy})
	return New(Options{Table: store.NewTable(store.TableSettings{URL: s.URL, Name: "t"}), Holder: holder, Name: "vm", Log: logrus.New()})
}

func TestNoMoreLoadsThanPermits(t *testing.T) {
	server := table.New()
	policy := config.Policy{ConcurrentLoads: 3}
	var mu sync.Mutex
	loading, peak := 0, 0
	var group sync.WaitGroup
	for range 8 {
		p := newTestPermits(t, server, policy)
		group.Go(func() {
			for range 3 {
				release, err := p.Take(context.Background(), wire.KindModel)
				assert.Check(t, err)
				mu.Lock()
				loading++
				peak = max(peak, loading)
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				loading--
				mu.Unlock()
				release()
			}
		})
	}
	group.Wait()
	assert.Assert(t, peak <= 3 && peak > 0, "%d at once", peak)
}

func TestRowIsReadBackAfterALostAnswer(t *testing.T) {
	server := table.New()
	p := newTestPermits(t, server, config.Policy{ConcurrentLoads: 1})
	server.Set(faults.Settings{LoseNext: 1, Match: "PutItem"})
	release, err := p.Take(context.Background(), wire.KindModel)
	assert.NilError(t, err)
	row, err := p.tryTakeAnyRow(context.Background(), 1)
	assert.NilError(t, err)
	assert.Assert(t, row == nil, "the row is taken")
	release()
}

func TestLoadsContinueWithoutTheTable(t *testing.T) {
	server := table.New()
	server.Set(faults.Settings{Down: true})
	p := newTestPermits(t, server, config.Policy{ConcurrentLoads: 1, LoadsPerSecond: 1000})
	release, err := p.Take(context.Background(), wire.KindModel)
	assert.NilError(t, err)
	release()
}

func TestUnchangedRowIsFreeAfterItsLease(t *testing.T) {
	now := time.Unix(0, 0)
	s := leaseTracker{}
	rows := []store.Row{{Key: rowKey(0), Version: "1", Value: []byte(`{"holder":"a","token":"x"}`)}}
	assert.Equal(t, len(s.freeRows(rows, 1, now)), 0)
	assert.Equal(t, len(s.freeRows(rows, 1, now.Add(leaseDuration-1))), 0)
	assert.Equal(t, len(s.freeRows(rows, 1, now.Add(leaseDuration))), 1)
	rows[0].Version = "2"
	assert.Equal(t, len(s.freeRows(rows, 1, now.Add(leaseDuration))), 0, "a new version has a new lease")
	assert.Equal(t, len(s.freeRows(rows, 2, now.Add(leaseDuration))), 1, "an absent row is free")
}

func TestMinHoldTimeLimitsTheLoadRate(t *testing.T) {
	assert.Equal(t, minHoldTime(config.Policy{ConcurrentLoads: 10, LoadsPerSecond: 2}), 5*time.Second)
	assert.Equal(t, minHoldTime(config.Policy{ConcurrentLoads: 10}), time.Duration(0))
}

func TestAdapterLoadsAreSharedAmongServers(t *testing.T) {
	p := newTestPermits(t, table.New(), config.Policy{AdapterLoads: 90})
	p.SetServers(45)
	ctx := context.Background()
	release, err := p.Take(ctx, wire.KindAdapter)
	assert.NilError(t, err)
	_, err = p.Take(ctx, wire.KindAdapter)
	assert.NilError(t, err)
	canceledCtx, cancel := context.WithCancel(ctx)
	cancel()
	_, err = p.Take(canceledCtx, wire.KindAdapter)
	assert.ErrorContains(t, err, "canceled")
	release()
	_, err = p.Take(ctx, wire.KindAdapter)
	assert.NilError(t, err)
}
