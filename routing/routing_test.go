package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start   = time.Unix(1000, 0)
	longAgo = start.Add(-time.Hour)
)

func newCandidates(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i].Server = &Server{Name: fmt.Sprintf("w%03d", i), Region: "r", Zone: "z", Serving: true, FirstSeen: longAgo, FreeBytes: 100}
		out[i].Resident = true
	}
	return out
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(7, 7)) }

func mustChoose(t *testing.T, c []Candidate, r Request) Choice {
	t.Helper()
	choice, err := Choose(c, r, start, newRand())
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
			c := newCandidates(10)
			c[3].Cached = 1
			c[3].Server.QueueDelay = tc.queue
			got := mustChoose(t, c, request)
			if tc.expect >= 0 {
				assert.Equal(t, got.Index, tc.expect)
				return
			}
			assert.Assert(t, got.Index != 3)
		})
	}
}

func TestChoosePrefersTheLeastToLoad(t *testing.T) {
	c := newCandidates(4)
	for i := range c {
		c[i].Resident = false
	}
	c[1].Base = true
	got := mustChoose(t, c, Request{Region: "r", Zone: "z", Adapter: true, Bytes: 10})
	assert.Equal(t, got.Index, 1)
	c[2].Resident, c[2].Base = true, true
	got = mustChoose(t, c, Request{Region: "r", Zone: "z", Adapter: true, Bytes: 10})
	assert.Equal(t, got.Index, 2)
	c[2].Server.InFlight = 100
	got = mustChoose(t, c, Request{Region: "r", Zone: "z", Adapter: true, Bytes: 10})
	assert.Equal(t, got.Index, 1, "a long queue costs more than an adapter load")
}

func TestChooseStaysInRegionUntilBusy(t *testing.T) {
	c := newCandidates(2)
	c[0].Server.Region = "far"
	request := Request{Region: "r", Zone: "z"}
	assert.Equal(t, mustChoose(t, c, request).Index, 1)
	c[1].Server.InFlight = 50
	assert.Equal(t, mustChoose(t, c, request).Index, 0)
}

func TestEntriesAgreeOnHome(t *testing.T) {
	request := Request{Region: "r", Zone: "z", Affinity: 99}
	first := mustChoose(t, newCandidates(50), request)
	for seed := range uint64(20) {
		got, err := Choose(newCandidates(50), request, start, rand.New(rand.NewPCG(seed, 1)))
		assert.NilError(t, err)
		assert.Equal(t, got.Index, first.Index)
	}
}

func TestEjectionNeverEmptiesPool(t *testing.T) {
	c := newCandidates(4)
	c[0].Server.RetryAt = start.Add(time.Second)
	for seed := range uint64(20) {
		got, err := Choose(c, Request{Region: "r", Zone: "z"}, start, rand.New(rand.NewPCG(seed, 1)))
		assert.NilError(t, err)
		assert.Assert(t, got.Index != 0)
	}
	for i := range c {
		c[i].Server.RetryAt = start.Add(time.Second)
	}
	mustChoose(t, c, Request{Region: "r", Zone: "z"})
}

func TestChooseReturnsErrNoServer(t *testing.T) {
	c := newCandidates(1)
	_, err := Choose(c, Request{Exclude: "w000"}, start, newRand())
	assert.ErrorIs(t, err, ErrNoServer)
}

func TestEjectDoublesUpToMaximum(t *testing.T) {
	assert.Assert(t, Eject(failuresToEject-1, start).IsZero())
	assert.Equal(t, Eject(failuresToEject, start), start.Add(firstEjection))
	assert.Equal(t, Eject(failuresToEject+1, start), start.Add(2*firstEjection))
	assert.Equal(t, Eject(failuresToEject+60, start), start.Add(maxEjection))
}

func TestChooseAllocatesNothing(t *testing.T) {
	c := newCandidates(600)
	rnd := newRand()
	request := Request{Region: "r", Zone: "z", PromptBytes: 4000, Affinity: 5}
	got := testing.AllocsPerRun(100, func() { _, _ = Choose(c, request, start, rnd) })
	assert.Equal(t, got, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{60, 600} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			c := newCandidates(n)
			for i := range c {
				c[i].Resident = i%8 == 0
				c[i].Base = i%4 == 0
			}
			rnd := newRand()
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
