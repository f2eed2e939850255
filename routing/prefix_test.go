package routing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestPrefixIndexFindsTheLongestPrefixOfEachServer(t *testing.T) {
	x := NewPrefixIndex(100)
	x.Add("a", []uint64{1, 2, 3})
	x.Add("b", []uint64{1})
	assert.DeepEqual(t, x.Match([]uint64{1, 2, 3, 4}), []Match{{Server: "a", Blocks: 3}, {Server: "b", Blocks: 1}})
	x.Drop("a")
	assert.DeepEqual(t, x.Match([]uint64{1, 2, 3, 4}), []Match{{Server: "b", Blocks: 1}})
}

func TestPrefixIndexRespectsCapacity(t *testing.T) {
	x := NewPrefixIndex(2)
	x.Add("a", []uint64{1, 2, 3})
	assert.Equal(t, len(x.blocks), 2)
	assert.Equal(t, len(x.Match([]uint64{1})), 0)
	assert.Equal(t, len(x.Match([]uint64{3})), 1)
}

func TestPrefixIndexKeepsNewestServers(t *testing.T) {
	x := NewPrefixIndex(2)
	for _, name := range []string{"a", "b", "c", "d", "b"} {
		x.Add(name, []uint64{1})
	}
	got := x.Match([]uint64{1})
	assert.DeepEqual(t, got, []Match{{"b", 1}, {"d", 1}, {"c", 1}})
}

func TestBaselinesChooseResidentServers(t *testing.T) {
	c := newCandidates(4)
	c[0].Resident, c[2].Resident = false, false
	c[1].Server.InFlight = 3
	least, err := NewChooser(LeastInFlight).Choose(c, Request{}, start, newRand())
	assert.NilError(t, err)
	assert.Equal(t, least.Index, 3)
	turns := NewChooser(RoundRobin)
	seen := map[int]int{}
	for range 10 {
		got, err := turns.Choose(c, Request{}, start, newRand())
		assert.NilError(t, err)
		seen[got.Index]++
	}
	assert.DeepEqual(t, seen, map[int]int{1: 5, 3: 5})
}
