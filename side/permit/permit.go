// Package permit limits the load on the weight store from all side processes. To
// load a model, a process takes one of ConcurrentLoads permit rows in the table.
// Each row is held for long enough that all rows together stay within
// LoadsPerSecond. Adapter loads are short, so each side process has a local limit:
// its share of AdapterLoads.
package permit

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/store"
)

const (
	rowPrefix      = "permit/"
	leaseDuration  = time.Minute // a row unchanged for this long is free: its holder has crashed
	minWait        = 100 * time.Millisecond
	maxWait        = 2 * time.Second
	releaseTimeout = 5 * time.Second // of a write that frees a row
)

// Options configure Permits.
type Options struct {
	Table  store.Table // nil: loads are only delayed at random
	Holder *config.Holder
	Name   string // name of this VM
	Log    logrus.FieldLogger
}

// Permits grants permits to load artifacts. It is safe for concurrent use.
type Permits struct {
	opts            Options
	adapterReleased chan struct{} // closed and replaced whenever an adapter load ends

	mu              sync.Mutex
	servers         int // backend servers in the deployment
	adaptersLoading int // adapter loads in progress
	leases          leaseTracker
}

// New returns the Permits of one side process.
func New(opts Options) *Permits {
	return &Permits{opts: opts, adapterReleased: make(chan struct{}), servers: 1, leases: leaseTracker{}}
}

// SetServers sets the number of backend servers in the deployment, as reported by a
// peer. Zero means unknown and is ignored.
func (p *Permits) SetServers(servers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if servers > 0 {
		p.servers = servers
	}
}

// Take waits for a permit to load an artifact of the kind. The caller calls release
// when the load has ended. The error has KindCanceled if ctx ends first.
func (p *Permits) Take(ctx context.Context, kind wire.ArtifactKind) (release func(), err error) {
	policy := p.policy()
	if kind == wire.KindAdapter {
		return p.takeAdapter(ctx, policy.AdapterLoads)
	}
	if policy.ConcurrentLoads <= 0 {
		return func() {}, nil
	}
	return p.takeModel(ctx, policy)
}

func (p *Permits) policy() config.Policy {
	if index := p.opts.Holder.Current(); index != nil {
		return index.Configuration.Policy
	}
	return config.Policy{}
}

// takeAdapter waits until this process loads fewer adapters than its share of total.
func (p *Permits) takeAdapter(ctx context.Context, total int) (func(), error) {
	if total <= 0 {
		return func() {}, nil
	}
	for {
		p.mu.Lock()
		released := p.adapterReleased
		if p.adaptersLoading < max(total/p.servers, 1) {
			p.adaptersLoading++
			p.mu.Unlock()
			return sync.OnceFunc(p.releaseAdapter), nil
		}
		p.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return nil, canceled(ctx)
		}
	}
}

func (p *Permits) releaseAdapter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adaptersLoading--
	close(p.adapterReleased)
	p.adapterReleased = make(chan struct{})
}

// takeModel retries with exponential backoff until it has taken a row. If the table
// is unavailable, it only waits for a random delay that spreads the loads of all
// servers to the configured rate.
func (p *Permits) takeModel(ctx context.Context, policy config.Policy) (func(), error) {
	for wait := minWait; ; wait = min(2*wait, maxWait) {
		row, err := p.tryTakeAnyRow(ctx, policy.ConcurrentLoads)
		switch {
		case err != nil && ctx.Err() == nil:
			event.Log(p.opts.Log, event.PermitsUnreadable, event.Err(err))
			return func() {}, sleep(ctx, randomDelay(p.serverCount(), policy.LoadsPerSecond))
		case row != nil:
			return p.releaser(*row, minHoldTime(policy)), nil
		}
		if err := sleep(ctx, rand.N(wait)+wait/2); err != nil {
			return nil, err
		}
	}
}

func (p *Permits) serverCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers
}

// permitRow is the value of a permit row.
type permitRow struct {
	Holder string `json:"holder"` // name of the VM; empty when the row is free
	Token  string `json:"token"`  // random; identifies this write when it is read back
}

// tryTakeAnyRow takes a free row, or returns nil if there is none. The error means
// that the table is unavailable.
func (p *Permits) tryTakeAnyRow(ctx context.Context, permits int) (*store.Row, error) {
	if p.opts.Table == nil {
		return nil, fault.Newf(fault.KindUnavailable, "permit.take", "", "no table is configured")
	}
	rows, err := p.opts.Table.List(ctx, rowPrefix, "", permits)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	p.mu.Lock()
	free := p.leases.freeRows(rows, permits, now)
	p.mu.Unlock()
	for _, i := range rand.Perm(len(free)) {
		row, err := p.tryTakeRow(ctx, free[i])
		if err != nil {
			return nil, err
		}
		if row != nil {
			return row, nil
		}
	}
	return nil, nil
}

// tryTakeRow takes the row. It returns nil if another process was faster.
func (p *Permits) tryTakeRow(ctx context.Context, row store.Row) (*store.Row, error) {
	mine := permitRow{Holder: p.opts.Name, Token: uuid.NewString()}
	value, err := json.Marshal(mine)
	if err != nil {
		return nil, err
	}
	var taken store.Row
	if row.Version == "" {
		taken, err = p.opts.Table.PutIfAbsent(ctx, row.Key, value)
	} else {
		taken, err = p.opts.Table.CompareAndSet(ctx, row.Key, row.Version, value)
	}
	switch {
	case err == nil:
		return &taken, nil
	case fault.Is(err, fault.KindConflict):
		return nil, nil
	case fault.Is(err, fault.KindUnknown):
		return p.readBack(ctx, row.Key, mine)
	}
	return nil, err
}

// readBack returns the row if it has the value mine, and nil otherwise. It resolves
// a write whose response was lost.
func (p *Permits) readBack(ctx context.Context, key string, mine permitRow) (*store.Row, error) {
	row, err := p.opts.Table.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if decodeRow(row) != mine {
		return nil, nil
	}
	return &row, nil
}

// releaser returns a function that frees the row once it has been held for at least
// minHold. If this fails, other processes take the row after its lease has expired.
func (p *Permits) releaser(row store.Row, minHold time.Duration) func() {
	until := time.Now().Add(minHold)
	return sync.OnceFunc(func() {
		time.AfterFunc(time.Until(until), func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			free, _ := json.Marshal(permitRow{})
			_, _ = p.opts.Table.CompareAndSet(ctx, row.Key, row.Version, free)
		})
	})
}

func decodeRow(row store.Row) permitRow {
	var r permitRow
	_ = json.Unmarshal(row.Value, &r)
	return r
}

func rowKey(n int) string { return rowPrefix + strconv.Itoa(n) }

func sleep(ctx context.Context, d time.Duration) error {
	if clock.Sleep(ctx, d) != nil {
		return canceled(ctx)
	}
	return nil
}

func canceled(ctx context.Context) error {
	return fault.New(fault.KindCanceled, "permit.take", "", ctx.Err())
}
