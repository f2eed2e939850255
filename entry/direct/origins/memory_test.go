package origins

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

// memory is a table in the memory of the test. Its partitions share a version counter.
type memory struct {
	mu      sync.Mutex
	rows    map[string]map[string]store.Row // by partition and key
	version int64
	writes  int
	lists   int
	down    bool // calls fail, and have no effect
}

func newMemory() *memory { return &memory{rows: map[string]map[string]store.Row{}} }

// Partition implements store.Partitioned.
func (m *memory) Partition(name string) store.Table { return memoryPart{m, name} }

type memoryPart struct {
	*memory
	name string
}

func (m *memory) part(name string) memoryPart { return memoryPart{m, name} }

func (m *memory) unavailable() error {
	if m.down {
		return fault.Newf(fault.KindUnavailable, "memory", "", "down")
	}
	return nil
}

func (p memoryPart) Get(_ context.Context, key string) (store.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, ok := p.rows[p.name][key]
	if err := p.unavailable(); err != nil {
		return store.Row{}, err
	}
	if !ok {
		return store.Row{}, fault.Newf(fault.KindNotFound, "memory", "", "no row %q", key)
	}
	return row, nil
}

// write writes a row if its version is the expected one; "" stands for no row.
func (p memoryPart) write(key string, value []byte, expected *string) (store.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.unavailable(); err != nil {
		return store.Row{}, err
	}
	if expected != nil && p.rows[p.name][key].Version != *expected {
		return store.Row{}, fault.Newf(fault.KindConflict, "memory", "", "version of %q", key)
	}
	p.version++
	p.writes++
	row := store.Row{Key: key, Value: slices.Clone(value), Version: strconv.FormatInt(p.version, 10)}
	if p.rows[p.name] == nil {
		p.rows[p.name] = map[string]store.Row{}
	}
	p.rows[p.name][key] = row
	return row, nil
}

func (p memoryPart) Put(_ context.Context, key string, value []byte) (store.Row, error) {
	return p.write(key, value, nil)
}

func (p memoryPart) PutIfAbsent(_ context.Context, key string, value []byte) (store.Row, error) {
	none := ""
	return p.write(key, value, &none)
}

func (p memoryPart) CompareAndSet(_ context.Context, key, version string, value []byte) (store.Row, error) {
	return p.write(key, value, &version)
}

func (p memoryPart) Delete(_ context.Context, key, version string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.unavailable(); err != nil {
		return err
	}
	if p.rows[p.name][key].Version != version {
		return fault.Newf(fault.KindConflict, "memory", "", "version of %q", key)
	}
	delete(p.rows[p.name], key)
	return nil
}

func (p memoryPart) List(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists++
	if err := p.unavailable(); err != nil {
		return nil, err
	}
	var out []store.Row
	for _, key := range slices.Sorted(maps.Keys(p.rows[p.name])) {
		if strings.HasPrefix(key, prefix) && key > after && len(out) < limit {
			out = append(out, p.rows[p.name][key])
		}
	}
	return out, nil
}

// The table itself is the partition without a name.

func (m *memory) Get(ctx context.Context, key string) (store.Row, error) {
	return m.part("").Get(ctx, key)
}

func (m *memory) Put(ctx context.Context, key string, value []byte) (store.Row, error) {
	return m.part("").Put(ctx, key, value)
}

func (m *memory) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	return m.part("").PutIfAbsent(ctx, key, value)
}

func (m *memory) CompareAndSet(ctx context.Context, key, version string, value []byte) (store.Row, error) {
	return m.part("").CompareAndSet(ctx, key, version, value)
}

func (m *memory) Delete(ctx context.Context, key, version string) error {
	return m.part("").Delete(ctx, key, version)
}

func (m *memory) List(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	return m.part("").List(ctx, prefix, after, limit)
}
