// Package permit shares the weight store among the side processes. A model is
// loaded under one of as many permit rows as the store takes loads at full
// speed. A row stays taken for so long that all rows together keep the store's
// rate. Adapters, whose loads are short, have a share at each side process.
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
	rowPrefix    = "permit/"
	lease        = time.Minute // a row unchanged for this long is free: its holder has died
	shortestWait = 100 * time.Millisecond
	longestWait  = 2 * time.Second
	releaseTime  = 5 * time.Second // longest attempt to give a row back
)

// Options configure Permits.
type Options struct {
	Table  store.Table // nil: loads are only spread over time
	Holder *config.Holder
	Name   string // of this VM
	Log    logrus.FieldLogger
}

// Permits gives out permits to load.
type Permits struct {
	opts     Options
	adapters chan struct{} // closed and made anew at each release of an adapter

	mu      sync.Mutex
	servers int // backend servers in the deployment
	loading int // adapters
	seen    sightings
}

// New returns permits for one side process.
func New(opts Options) *Permits {
	return &Permits{opts: opts, adapters: make(chan struct{}), servers: 1, seen: sightings{}}
}

// Learn takes a peer's word for the number of backend servers; zero means that
// it does not know.
func (p *Permits) Learn(servers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if servers > 0 {
		p.servers = servers
	}
}

// Take waits for a permit to load an artifact of the kind. The error has
// KindCanceled when ctx ends first.
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

// takeAdapter waits until fewer adapters than this process's share are loading.
func (p *Permits) takeAdapter(ctx context.Context, total int) (func(), error) {
	if total <= 0 {
		return func() {}, nil
	}
	for {
		p.mu.Lock()
		released := p.adapters
		if p.loading < max(total/p.servers, 1) {
			p.loading++
			p.mu.Unlock()
			return sync.OnceFunc(p.adapterLoaded), nil
		}
		p.mu.Unlock()
		select {
		case <-released:
		case <-ctx.Done():
			return nil, canceled(ctx)
		}
	}
}

func (p *Permits) adapterLoaded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loading--
	close(p.adapters)
	p.adapters = make(chan struct{})
}

// takeModel tries for a row until it has one. While the table does not answer,
// the loads of all processes are spread over the time that the rate gives them.
func (p *Permits) takeModel(ctx context.Context, policy config.Policy) (func(), error) {
	for wait := shortestWait; ; wait = min(2*wait, longestWait) {
		row, err := p.tryRows(ctx, policy.ConcurrentLoads)
		switch {
		case err != nil && ctx.Err() == nil:
			event.Log(p.opts.Log, event.PermitsUnreadable, event.Err(err))
			return func() {}, pause(ctx, spread(p.known(), policy.LoadsPerSecond))
		case row != nil:
			return p.releaser(*row, hold(policy)), nil
		}
		if err := pause(ctx, rand.N(wait)+wait/2); err != nil {
			return nil, err
		}
	}
}

func (p *Permits) known() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.servers
}

// record is the value of a permit row.
type record struct {
	Holder string `json:"holder"` // name of the VM; empty when the row is free
	Token  string `json:"token"`  // of this taking, for reading back
}

// tryRows takes a free row if there is one. The error means that the table
// does not answer.
func (p *Permits) tryRows(ctx context.Context, permits int) (*store.Row, error) {
	if p.opts.Table == nil {
		return nil, fault.Newf(fault.KindUnavailable, "permit.take", "", "no table is set")
	}
	rows, err := p.opts.Table.List(ctx, rowPrefix, "", permits)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	p.mu.Lock()
	free := p.seen.free(rows, permits, now)
	p.mu.Unlock()
	for _, i := range rand.Perm(len(free)) {
		row, err := p.write(ctx, free[i])
		if err != nil {
			return nil, err
		}
		if row != nil {
			return row, nil
		}
	}
	return nil, nil
}

// write takes one row; nil means that another process was first.
func (p *Permits) write(ctx context.Context, row store.Row) (*store.Row, error) {
	mine := record{Holder: p.opts.Name, Token: uuid.NewString()}
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

// readBack finds out whether a write whose answer was lost took effect.
func (p *Permits) readBack(ctx context.Context, key string, mine record) (*store.Row, error) {
	row, err := p.opts.Table.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if decode(row) != mine {
		return nil, nil
	}
	return &row, nil
}

// releaser returns the function that gives a row back, not before it was held
// for the given time. Other processes take a row that is never given back after
// its lease.
func (p *Permits) releaser(row store.Row, held time.Duration) func() {
	until := time.Now().Add(held)
	return sync.OnceFunc(func() {
		time.AfterFunc(time.Until(until), func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
			defer cancel()
			free, _ := json.Marshal(record{})
			_, _ = p.opts.Table.CompareAndSet(ctx, row.Key, row.Version, free)
		})
	})
}

func decode(row store.Row) record {
	var r record
	_ = json.Unmarshal(row.Value, &r)
	return r
}

func rowKey(n int) string { return rowPrefix + strconv.Itoa(n) }

func pause(ctx context.Context, d time.Duration) error {
	if clock.Sleep(ctx, d) != nil {
		return canceled(ctx)
	}
	return nil
}

func canceled(ctx context.Context) error {
	return fault.New(fault.KindCanceled, "permit.take", "", ctx.Err())
}
