package mesh

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
)

func TestDocumentsReachEntriesWithoutATable(t *testing.T) {
	table := newTable()
	var seed string
	entries := startAll(t, 3, func(i int, o *Options) {
		if i == 0 {
			o.Table, seed = table, o.Self.Address
		}
		o.Seeds = []string{seed}
	})
	awaitAll(t, entries)
	body := bytes.Repeat([]byte("route "), 50_000)
	entries[0].Offer(Document{Kind: "config", Version: 7, Body: body})
	for _, e := range entries[1:] {
		await(t, "version 7", func() bool { return e.newest().Version == 7 })
		assert.DeepEqual(t, e.newest().Body, body)
	}
	entries[0].Offer(Document{Kind: "config", Version: 6, Body: []byte("older")})
	entries[1].Offer(Document{Kind: "config", Version: 19, Body: []byte("newer")})
	await(t, "newer version reaches the first entry", func() bool { return entries[0].newest().Version == 19 })
	await(t, "newer version reaches the last entry", func() bool { return entries[2].newest().Version == 19 })
}

func TestNewConnectionsGetDocuments(t *testing.T) {
	first := options(t, "a")
	a := start(t, first)
	a.Offer(Document{Kind: "config", Version: 3, Body: []byte("c")})
	second := options(t, "b")
	second.Seeds = []string{first.Self.Address}
	b := start(t, second)
	await(t, "version 3", func() bool { return b.newest().Version == 3 })
	second = options(t, "c")
	second.Seeds = []string{b.self.Address}
	c := start(t, second)
	await(t, "version 3 from either entry", func() bool { return c.newest().Version == 3 })
}

func TestDocumentAgeIsRenewed(t *testing.T) {
	const old = time.Hour
	opts := options(t, "a")
	a := start(t, opts)
	opts = options(t, "b")
	opts.Seeds = []string{a.self.Address}
	b := start(t, opts)
	a.Offer(Document{Kind: "servers", Version: 5, Body: []byte("list"), Age: old})
	await(t, "old list", func() bool { return b.newest().Version == 5 })
	assert.Assert(t, b.newest().Age >= old)
	a.Offer(Document{Kind: "servers", Version: 5, Body: []byte("list")})
	await(t, "renewed age of the same version", func() bool { return b.newest().Age < old })
	a.Offer(Document{Kind: "servers", Version: 6, Body: []byte("list")})
	await(t, "newer version with the same body", func() bool { return b.newest().Version == 6 })
	assert.DeepEqual(t, b.newest().Body, []byte("list"))
}

func TestCalls(t *testing.T) {
	opts := options(t, "b")
	var sum atomic.Int64
	register := func(m *Mesh) {
		Handle(m, "double", func(_ context.Context, from string, n int) (int, error) {
			if n < 0 {
				return 0, fault.Newf(fault.KindInvalid, "double", from, "negative")
			}
			return 2 * n, nil
		})
		HandleBroadcast(m, "tell", func(_ string, n int64) { sum.Add(n) })
		Handle(m, "hang", func(ctx context.Context, _ string, _ int) (int, error) {
			<-ctx.Done()
			return 0, ctx.Err()
		})
	}
	b := start(t, opts, register)
	opts = options(t, "a")
	opts.Seeds = []string{b.self.Address}
	a := start(t, opts, register)
	awaitAll(t, []*entry{a, b})
	ctx := context.Background()
	got, err := Call[int, int](ctx, a.Mesh, "b", "double", 21)
	assert.NilError(t, err)
	assert.Equal(t, got, 42)
	_, err = Call[int, int](ctx, b.Mesh, "a", "double", -1)
	assertKind(t, err, "refused")
	_, err = Call[int, int](ctx, a.Mesh, "nobody", "double", 1)
	assertKind(t, err, "unavailable")
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = Call[int, int](short, a.Mesh, "b", "hang", 1)
	assertKind(t, err, "unknown")
	<-short.Done()
	_, err = Call[int, int](short, a.Mesh, "b", "double", 1)
	assertKind(t, err, "unavailable")
	a.Broadcast("tell", 5)
	b.Broadcast("tell", 6)
	await(t, "both broadcasts", func() bool { return sum.Load() == 11 })
}

func TestBroadcastOrder(t *testing.T) {
	const messages = 40 // less than maxPendingBroadcasts
	got := make(chan int, messages)
	opts := options(t, "b")
	b := start(t, opts, func(m *Mesh) {
		HandleBroadcast(m, "tell", func(from string, n int) {
			assert.Check(t, from == "a")
			got <- n
		})
	})
	opts = options(t, "a")
	opts.Seeds = []string{b.self.Address}
	a := start(t, opts)
	awaitAll(t, []*entry{a, b})
	for n := range messages {
		a.Broadcast("tell", n)
	}
	for n := range messages {
		assert.Equal(t, <-got, n)
	}
}

func TestCallToStoppedPeer(t *testing.T) {
	opts := options(t, "b")
	called := make(chan struct{})
	b := start(t, opts, func(m *Mesh) {
		Handle(m, "hang", func(ctx context.Context, _ string, _ int) (int, error) {
			close(called)
			<-ctx.Done()
			return 0, ctx.Err()
		})
	})
	opts = options(t, "a")
	opts.Seeds = []string{b.self.Address}
	a := start(t, opts)
	awaitAll(t, []*entry{a, b})
	go func() {
		<-called
		b.stop()
	}()
	_, err := Call[int, int](context.Background(), a.Mesh, "b", "hang", 1)
	assertKind(t, err, "unknown")
}

// TestDocumentLooksFreshAfterSuspension suspends the machine of an entry that has a document.
func TestDocumentLooksFreshAfterSuspension(t *testing.T) {
	const suspended = 5 * time.Second
	var elapsed time.Duration
	o := options(t, "a")
	o.Clock = func() time.Duration { return elapsed }
	m := New(o)
	m.Offer(Document{Kind: "servers", Version: 3, Body: []byte("list")})
	elapsed += suspended
	reply, err := m.handleDocumentQuery(t.Context(), nil, documentQuery{Kind: "servers"})
	assert.NilError(t, err)
	assert.Equal(t, reply.AgeMS, suspended.Milliseconds())
}
