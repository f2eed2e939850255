package mesh

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// faultSeeds run every time. MESH_SEEDS sets the number of additional random seeds.
var faultSeeds = []uint64{1, 2}

func seeds(t *testing.T) []uint64 {
	out := faultSeeds
	if n, err := strconv.Atoi(os.Getenv("MESH_SEEDS")); err == nil {
		for range n {
			out = append(out, rand.Uint64N(1_000_000))
		}
	}
	t.Log("seeds", out)
	return out
}

// faultyMesh is a mesh with fault injection driven by a seeded random source.
type faultyMesh struct {
	t       *testing.T
	rng     *rand.Rand
	table   *table
	entries []*entry
	proxies []*blackholeProxy // one in front of each entry
	silent  []bool
	load    []int // requests of each entry in progress at the server "s"
	version int64
}

func newFaultyMesh(t *testing.T, seed uint64, n int) *faultyMesh {
	f := &faultyMesh{t: t, rng: rand.New(rand.NewPCG(seed, seed)), table: newTable(), silent: make([]bool, n), load: make([]int, n)}
	for i := range n {
		opts := options(t, fmt.Sprintf("entry-%d", i))
		proxy := newBlackholeProxy(t, opts.Self.Address)
		opts.Listen, opts.Self.Address = opts.Self.Address, proxy.address
		opts.Table = f.table
		f.proxies = append(f.proxies, proxy)
		f.entries = append(f.entries, start(t, opts))
	}
	return f
}

// injectFault injects one fault or makes one change.
func (f *faultyMesh) injectFault() {
	i := f.rng.IntN(len(f.entries))
	switch f.rng.IntN(6) {
	case 0:
		f.isolate(i)
	case 1:
		f.heal(i)
	case 2:
		f.restart(i)
	case 3:
		f.table.setDown(f.rng.IntN(2) == 0)
	case 4:
		f.version++
		f.entries[i].Offer(Document{Kind: "config", Version: f.version, Body: []byte(fmt.Sprint(f.version))})
	default:
		f.load[i] = f.rng.IntN(10)
		f.entries[i].SetLoad([]ServerLoad{{ID: "s", Requests: f.load[i]}, {ID: fmt.Sprint(f.rng.IntN(50)), Requests: 1}})
	}
}

func (f *faultyMesh) isolate(i int) {
	if !f.silent[i] {
		f.proxies[i].silence()
		f.silent[i] = true
	}
}

func (f *faultyMesh) heal(i int) {
	f.proxies[i].heal()
	f.silent[i] = false
}

// restart stops an entry and starts it again under the same name, without state.
func (f *faultyMesh) restart(i int) {
	opts := f.entries[i].opts
	f.entries[i].stop()
	opts.Self.Incarnation = ""
	f.entries[i] = start(f.t, opts)
	f.load[i] = 0
}

// assertConverged waits until every entry is connected to all others and has
// their load and the newest document.
func (f *faultyMesh) assertConverged() {
	sum := 0
	for _, n := range f.load {
		sum += n
	}
	f.entries[0].Offer(Document{Kind: "config", Version: f.version + 1, Body: []byte("last")})
	awaitAll(f.t, f.entries)
	for i, e := range f.entries {
		await(f.t, e.self.Name+" has the load", func() bool { return requests(e, "s") == sum-f.load[i] })
		await(f.t, e.self.Name+" has the document", func() bool { return i == 0 || string(e.newest().Body) == "last" })
	}
}

func TestMeshConvergesAfterFaults(t *testing.T) {
	const entries, steps, maxPause = 4, 30, 200 * time.Millisecond
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFaultyMesh(t, seed, entries)
			for range steps {
				f.injectFault()
				time.Sleep(time.Duration(f.rng.Int64N(int64(maxPause))))
			}
			for i := range entries {
				f.heal(i)
			}
			f.table.setDown(false)
			f.assertConverged()
		})
	}
}
