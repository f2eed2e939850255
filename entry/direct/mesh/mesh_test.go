package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// await waits until the condition is true and fails the test after 30 seconds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(30*time.Second))
}

// Ports of the meshes of tests. They lie below those that the kernel gives to listeners without a
// port and to outgoing connections, so that none is taken between the choice and the start.
const (
	lowestPort = 12000
	ports      = 20000
)

// nextPort makes the ports of a test process unique.
var nextPort atomic.Int64

func init() { nextPort.Store(rand.Int64N(ports)) }

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range ports {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+nextPort.Add(1)%ports)
		if ln, err := net.Listen("tcp", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// entry is a running mesh.
type entry struct {
	*Mesh
	stop func()

	mu       sync.Mutex
	received []Document
}

func (e *entry) onDocument(d Document) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received = append(e.received, d)
}

// newest returns the last document received from a peer.
func (e *entry) newest() Document {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.received) == 0 {
		return Document{}
	}
	return e.received[len(e.received)-1]
}

// options returns the options of an entry without seeds or a table.
func options(t *testing.T, name string) Options {
	log := logrus.New()
	log.SetOutput(t.Output())
	return Options{
		Self: Identity{Name: name, Address: freeAddress(t), Zone: "z", Region: "r"},
		Log:  log,
	}
}

// start runs an entry until it is stopped or the test ends.
func start(t *testing.T, opts Options, register ...func(*Mesh)) *entry {
	t.Helper()
	e := &entry{}
	opts.OnDocument = e.onDocument
	e.Mesh = New(opts)
	for _, f := range register {
		f(e.Mesh)
	}
	assert.NilError(t, e.Listen())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	var once sync.Once
	e.stop = func() {
		once.Do(func() {
			cancel()
			assert.NilError(t, <-done)
		})
	}
	t.Cleanup(e.stop)
	return e
}

// awaitAll waits until every entry is connected to all others.
func awaitAll(t *testing.T, entries []*entry) {
	t.Helper()
	for _, e := range entries {
		await(t, e.self.Name+" is connected to all others", func() bool { return len(e.Connected()) == len(entries)-1 })
	}
}

// startAll starts n entries with options that edit may change.
func startAll(t *testing.T, n int, edit func(i int, o *Options)) []*entry {
	t.Helper()
	var entries []*entry
	for i := range n {
		opts := options(t, fmt.Sprintf("entry-%d", i))
		edit(i, &opts)
		entries = append(entries, start(t, opts))
	}
	return entries
}

func TestEntriesFindEachOther(t *testing.T) {
	for _, n := range []int{2, 5} {
		t.Run(fmt.Sprintf("%d by rows only", n), func(t *testing.T) {
			table := newTable()
			awaitAll(t, startAll(t, n, func(_ int, o *Options) { o.Table = table }))
		})
		t.Run(fmt.Sprintf("%d by one seed only", n), func(t *testing.T) {
			var seed string
			awaitAll(t, startAll(t, n, func(i int, o *Options) {
				if i == 0 {
					seed = o.Self.Address
				}
				o.Seeds = []string{seed, freeAddress(t)}
			}))
		})
		t.Run(fmt.Sprintf("%d with stale rows", n), func(t *testing.T) {
			table := newTable()
			table.add(t, Identity{Name: "gone", Incarnation: "i", Address: freeAddress(t)})
			table.add(t, Identity{Name: "entry-1", Incarnation: "earlier", Address: freeAddress(t)})
			table.raw("entries/broken", "{")
			awaitAll(t, startAll(t, n, func(_ int, o *Options) { o.Table = table }))
		})
	}
}

func TestSomeEntriesHaveNoTable(t *testing.T) {
	table := newTable()
	var seed string
	awaitAll(t, startAll(t, 4, func(i int, o *Options) {
		switch i {
		case 0:
			o.Table, seed = table, o.Self.Address
		case 1:
			o.Table = table
		default:
			o.Seeds = []string{seed}
		}
	}))
}

func TestRestartUnderTheSameName(t *testing.T) {
	table := newTable()
	entries := startAll(t, 3, func(_ int, o *Options) { o.Table = table })
	awaitAll(t, entries)
	entries[1].SetLoad([]ServerLoad{{ID: "s", Requests: 3}})
	await(t, "load of the first run", func() bool { return requests(entries[0], "s") == 3 })
	opts := entries[1].opts
	entries[1].stop()
	await(t, "loss", func() bool { return requests(entries[0], "s") == 0 })
	opts.Self.Incarnation = ""
	opts.Self.Address = freeAddress(t)
	opts.Listen = ""
	entries[1] = start(t, opts)
	awaitAll(t, entries)
	for _, p := range entries[0].Peers() {
		if p.Name == "entry-1" {
			assert.Equal(t, p.Incarnation, entries[1].self.Incarnation)
			assert.Equal(t, p.Address, opts.Self.Address)
		}
	}
	entries[1].SetLoad([]ServerLoad{{ID: "s", Requests: 1}})
	await(t, "load of the second run", func() bool { return requests(entries[0], "s") == 1 })
}

func TestSilentPeerIsDroppedAndReconnects(t *testing.T) {
	first := options(t, "a")
	second := options(t, "b")
	proxy := newBlackholeProxy(t, second.Self.Address)
	second.Self.Address, second.Listen = proxy.address, second.Self.Address
	first.Seeds = []string{proxy.address}
	a, b := start(t, first), start(t, second)
	awaitAll(t, []*entry{a, b})
	b.SetLoad([]ServerLoad{{ID: "s", Requests: 2}})
	await(t, "load", func() bool { return requests(a, "s") == 2 })
	proxy.silence()
	await(t, "a disconnects b", func() bool { return len(a.Connected()) == 0 && requests(a, "s") == 0 })
	await(t, "b disconnects a", func() bool { return len(b.Connected()) == 0 })
	_, err := Call[int, int](context.Background(), a.Mesh, "b", "any", 1)
	assertKind(t, err, "unavailable")
	proxy.heal() // the old connections stay silent
	awaitAll(t, []*entry{a, b})
	await(t, "load again", func() bool { return requests(a, "s") == 2 })
}

func requests(e *entry, server string) int {
	return e.Loads()[server].Requests
}

func TestLoadSumsAllPeers(t *testing.T) {
	table := newTable()
	regions := []string{"east", "east", "west"}
	entries := startAll(t, 3, func(i int, o *Options) { o.Table, o.Self.Region = table, regions[i] })
	awaitAll(t, entries)
	entries[1].SetLoad([]ServerLoad{{ID: "s1", Requests: 2, Prefill: 900, Memory: 5000}, {ID: "s2", Requests: 1}})
	entries[2].SetLoad([]ServerLoad{{ID: "s1", Requests: 3, Prefill: 100, Memory: 7000}})
	want := Totals{Requests: 5, Prefill: 1000, Memory: 12000}
	await(t, "sum", func() bool { return entries[0].Loads()["s1"] == want })
	await(t, "own load is excluded", func() bool { return requests(entries[1], "s1") == 3 })
	entries[2].SetLoad(nil)
	await(t, "less", func() bool { return requests(entries[0], "s1") == 2 })
	entries[1].stop()
	await(t, "a stopped peer does not count", func() bool { return requests(entries[0], "s1") == 0 })
}
