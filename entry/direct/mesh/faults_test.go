package mesh

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

// faultSeeds are played in every run; MESH_SEEDS plays that many others more.
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

// faulty is a mesh whose entries suffer faults that follow from a seed.
type faulty struct {
	t       *testing.T
	rng     *rand.Rand
	table   *table
	entries []*entry
	cuts    []*silencer // before each entry
	silent  []bool
	load    []int // requests of each entry at the server "s"
	version int64
}

func newFaulty(t *testing.T, seed uint64, n int) *faulty {
	f := &faulty{t: t, rng: rand.New(rand.NewPCG(seed, seed)), table: newTable(), silent: make([]bool, n), load: make([]int, n)}
	for i := range n {
		opts := options(t, fmt.Sprintf("entry-%d", i))
		cut := newSilencer(t, opts.Self.Address)
		opts.Listen, opts.Self.Address = opts.Self.Address, cut.address
		opts.Table = f.table
		f.cuts = append(f.cuts, cut)
		f.entries = append(f.entries, start(t, opts))
	}
	return f
}

// step brings about one fault or change.
func (f *faulty) step() {
	i := f.rng.IntN(len(f.entries))
	switch f.rng.IntN(6) {
	case 0:
		f.cut(i)
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

func (f *faulty) cut(i int) {
	if !f.silent[i] {
		f.cuts[i].silence()
		f.silent[i] = true
	}
}

func (f *faulty) heal(i int) {
	f.cuts[i].heal()
	f.silent[i] = false
}

// restart ends an entry and starts it anew under the same name. It knows nothing.
func (f *faulty) restart(i int) {
	opts := f.entries[i].opts
	f.entries[i].stop()
	opts.Self.Incarnation = ""
	f.entries[i] = start(f.t, opts)
	f.load[i] = 0
}

// settled checks that every entry knows all others, their load and the newest document.
func (f *faulty) settled() {
	sum := 0
	for _, n := range f.load {
		sum += n
	}
	f.entries[0].Offer(Document{Kind: "config", Version: f.version + 1, Body: []byte("last")})
	awaitAll(f.t, f.entries)
	for i, e := range f.entries {
		await(f.t, e.self.Name+" knows the load", func() bool { return requests(e, "s") == sum-f.load[i] })
		await(f.t, e.self.Name+" has the document", func() bool { return i == 0 || string(e.newest().Body) == "last" })
	}
}

func TestMeshSettlesAfterFaults(t *testing.T) {
	const entries, steps, longestPause = 4, 30, 200 * time.Millisecond
	for _, seed := range seeds(t) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := newFaulty(t, seed, entries)
			for range steps {
				f.step()
				time.Sleep(time.Duration(f.rng.Int64N(int64(longestPause))))
			}
			for i := range entries {
				f.heal(i)
			}
			f.table.setDown(false)
			f.settled()
		})
	}
}
