package origins

import (
	"context"
	"sync/atomic"

	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

// cutTable is a table as one entry reaches it, or does not while cut is set.
type cutTable struct {
	store.Partitioned
	cut *atomic.Bool
}

type cutPart struct {
	store.Table
	cut *atomic.Bool
}

func (c cutTable) Partition(name string) store.Table {
	return cutPart{c.Partitioned.Partition(name), c.cut}
}

func (c cutTable) Get(ctx context.Context, key string) (store.Row, error) {
	return c.Partition("").Get(ctx, key)
}

func (c cutTable) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	return c.Partition("").PutIfAbsent(ctx, key, value)
}

func (c cutTable) CompareAndSet(ctx context.Context, key, version string, value []byte) (store.Row, error) {
	return c.Partition("").CompareAndSet(ctx, key, version, value)
}

func (c cutTable) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	return c.Partition("").List(ctx, prefix, after, limit)
}

func (c cutPart) unavailable() error {
	if c.cut.Load() {
		return fault.Newf(fault.KindUnavailable, "memory", "", "cut off")
	}
	return nil
}

func (c cutPart) Get(ctx context.Context, key string) (store.Row, error) {
	if err := c.unavailable(); err != nil {
		return store.Row{}, err
	}
	return c.Table.Get(ctx, key)
}

func (c cutPart) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	if err := c.unavailable(); err != nil {
		return store.Row{}, err
	}
	return c.Table.PutIfAbsent(ctx, key, value)
}

func (c cutPart) CompareAndSet(ctx context.Context, key, version string, value []byte) (store.Row, error) {
	if err := c.unavailable(); err != nil {
		return store.Row{}, err
	}
	return c.Table.CompareAndSet(ctx, key, version, value)
}

func (c cutPart) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	if err := c.unavailable(); err != nil {
		return nil, err
	}
	return c.Table.List(ctx, prefix, after, limit)
}
