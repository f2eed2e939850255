package mesh

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

func assertKind(t *testing.T, err error, kind string) {
	t.Helper()
	assert.Assert(t, err != nil)
	assert.Equal(t, fault.KindOf(err).String(), kind)
}

// table is an in-memory table service.
type table struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	version int
	down    bool
	lists   int
}

func newTable() *table { return &table{rows: map[string]store.Row{}} }

// add writes a row for an entry that is not running.
func (f *table) add(t *testing.T, id Identity) {
	value, err := json.Marshal(id)
	assert.NilError(t, err)
	f.raw(rowPrefix+id.Name, string(value))
}

func (f *table) raw(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.put(key, []byte(value))
}

func (f *table) put(key string, value []byte) store.Row {
	f.version++
	f.rows[key] = store.Row{Key: key, Value: value, Version: strconv.Itoa(f.version)}
	return f.rows[key]
}

// has reports whether the entry has a row.
func (f *table) has(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.rows[rowPrefix+name]
	return ok
}

func (f *table) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *table) reachable() error {
	if f.down {
		return fault.Newf(fault.KindUnavailable, "table", "", "down")
	}
	return nil
}

func (f *table) Get(_ context.Context, key string) (store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return row, fault.Newf(fault.KindNotFound, "table.get", "", "no row %s", key)
	}
	return row, f.reachable()
}

func (f *table) Put(_ context.Context, key string, value []byte) (store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.reachable(); err != nil {
		return store.Row{}, err
	}
	return f.put(key, value), nil
}

func (f *table) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	return f.CompareAndSet(ctx, key, "", value)
}

func (f *table) CompareAndSet(_ context.Context, key, version string, value []byte) (store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows[key].Version != version {
		return store.Row{}, fault.Newf(fault.KindConflict, "table.cas", "", "version")
	}
	return f.put(key, value), f.reachable()
}

func (f *table) Delete(_ context.Context, key, version string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.reachable(); err != nil {
		return err
	}
	if f.rows[key].Version != version {
		return fault.Newf(fault.KindConflict, "table.delete", "", "version")
	}
	delete(f.rows, key)
	return nil
}

func (f *table) List(_ context.Context, prefix, after string, limit int) ([]store.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	var out []store.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], f.reachable()
}

// blackholeProxy forwards connections to upstream until it is silenced. Existing
// connections then stay open but carry no more data, as after the loss of a
// firewall's connection state. New connections get no response until it is healed.
type blackholeProxy struct {
	address  string
	upstream string

	mu     sync.Mutex
	silent bool
	mute   chan struct{} // closed to mute the connections opened so far
	conns  []net.Conn
}

func newBlackholeProxy(t *testing.T, upstream string) *blackholeProxy {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &blackholeProxy{address: ln.Addr().String(), upstream: upstream, mute: make(chan struct{})}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.open(conn)
		}
	}()
	t.Cleanup(func() {
		_ = ln.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, conn := range s.conns {
			_ = conn.Close()
		}
	})
	return s
}

func (s *blackholeProxy) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
	close(s.mute)
	s.mute = make(chan struct{})
}

func (s *blackholeProxy) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = false
}

func (s *blackholeProxy) open(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, conn)
	if s.silent {
		return
	}
	up, err := net.Dial("tcp", s.upstream)
	if err != nil {
		_ = conn.Close()
		return
	}
	s.conns = append(s.conns, up)
	go relay(up, conn, s.mute)
	go relay(conn, up, s.mute)
}

// relay copies data until the source closes. Once mute is closed, it discards the
// data instead.
func relay(to, from net.Conn, mute <-chan struct{}) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		select {
		case <-mute:
			_, _ = io.Copy(io.Discard, from)
			return
		default:
		}
		if n > 0 {
			_, _ = to.Write(buf[:n])
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}
