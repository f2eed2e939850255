package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Unix(1000, 0)
	old   = start.Add(-time.Hour)
)

func fleet(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i].Server = &Server{Name: fmt.Sprintf("w%03d", i), Region: "r", Zone: "z", Serving: true, FirstSeen: old, FreeBytes: 100}
		out[i].Resident = true
	}
	return out
}

func seeded() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

func choose(t *testing.T, c []Candidate, r Request) Choice {
	t.Helper()
	choice, err := Choose(c, r, start, seeded())
	assert.NilError(t, err)
	return choice
}

func TestChooseWeighsCacheAgainstQueue(t *testing.T) {
	request := Request{Region: "r", Zone: "z", PromptBytes: 8000}
	for _, tc := range []struct {
		name   string
		queue  time.Duration
		expect int
	}{
		{"the cached prefix saves more than the queue costs", 100 * time.Millisecond, 3},
		{"the queue costs more than the cached prefix saves", 3 * time.Second, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := fleet(10)
			c[3].Cached = 1
			c[3].Server.QueueDelay = tc.queue
			got := choose(t, c, request)
			if tc.expect >= 0 {
				assert.Equal(t, got.Index, tc.expect)
				return
			}
			assert.Assert(t, got.Index != 3)
		})
	}
}

func TestChoosePrefersTheLeastToLoad(t *testing.T) {
	c := fleet(4)
	for i := range c {
		c[i].Resident = false
	}
	c[1].Base = true
	got := choose(t, c, Request{Region: "r", Zone: "z", Adapter: true, Bytes: 10})
	assert.Equal(t, got.Index, 1)
	c[2].Resident, c[2].Base = true, true
	got = choose(t, c, Request{Region: "r", Zone: "z", Adapter: true, Bytes: 10})
	assert.Equal(t, got.Index, 2)
	c[2].Server.InFlight = 100
	got = choose(t, c, Request{Region: "r", Zone: "z", Adapter: true, Bytes: 10})
	assert.Equal(t, got.Index, 1, "a long queue costs more than an adapter load")
}

func TestChooseStaysInTheRegionUnlessItIsFull(t *testing.T) {
	c := fleet(2)
	c[0].Server.Region = "far"
	request := Request{Region: "r", Zone: "z"}
	assert.Equal(t, choose(t, c, request).Index, 1)
	c[1].Server.InFlight = 50
	assert.Equal(t, choose(t, c, request).Index, 0)
}

func TestEveryEntryFindsTheSameHome(t *testing.T) {
	request := Request{Region: "r", Zone: "z", Affinity: 99}
	first := choose(t, fleet(50), request)
	for seed := range uint64(20) {
		got, err := Choose(fleet(50), request, start, rand.New(rand.NewPCG(seed, 1)))
		assert.NilError(t, err)
		assert.Equal(t, got.Index, first.Index)
	}
}

func TestEjectionNeverEmptiesAPool(t *testing.T) {
	c := fleet(4)
	c[0].Server.RetryAt = start.Add(time.Second)
	for seed := range uint64(20) {
		got, err := Choose(c, Request{Region: "r", Zone: "z"}, start, rand.New(rand.NewPCG(seed, 1)))
		assert.NilError(t, err)
		assert.Assert(t, got.Index != 0)
	}
	for i := range c {
		c[i].Server.RetryAt = start.Add(time.Second)
	}
	choose(t, c, Request{Region: "r", Zone: "z"})
}

func TestNoServer(t *testing.T) {
	c := fleet(1)
	_, err := Choose(c, Request{Exclude: "w000"}, start, seeded())
	assert.ErrorIs(t, err, ErrNoServer)
}

func TestEjectDoublesUpToItsLimit(t *testing.T) {
	assert.Assert(t, Eject(failuresToEject-1, start).IsZero())
	assert.Equal(t, Eject(failuresToEject, start), start.Add(firstEjection))
	assert.Equal(t, Eject(failuresToEject+1, start), start.Add(2*firstEjection))
	assert.Equal(t, Eject(failuresToEject+60, start), start.Add(longestEjection))
}

func TestChooseAllocatesNothing(t *testing.T) {
	c := fleet(600)
	rnd := seeded()
	request := Request{Region: "r", Zone: "z", PromptBytes: 4000, Affinity: 5}
	got := testing.AllocsPerRun(100, func() { _, _ = Choose(c, request, start, rnd) })
	assert.Equal(t, got, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{60, 600} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			c := fleet(n)
			for i := range c {
				c[i].Resident = i%8 == 0
				c[i].Base = i%4 == 0
			}
			rnd := seeded()
			request := Request{Region: "r", Zone: "z", PromptBytes: 4000, Affinity: 5, Adapter: true}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Choose(c, request, start, rnd); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
