package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/common/wire"
)

var testTime = time.Unix(1000, 0)

func item(name, version string, bytes int64) Item {
	a := artifact(name, version)
	return Item{Artifact: a, Base: a, Pool: "p", Bytes: bytes}
}

func adapterOf(base Item, name string, bytes int64) Item {
	a := wire.Artifact{Kind: wire.KindAdapter, Name: name, Version: "1"}
	return Item{Artifact: a, Base: base.Artifact, Pool: base.Pool, Bytes: bytes}
}

func workers(n int, memory int64) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{Name: fmt.Sprintf("w%02d", i), Zone: fmt.Sprintf("z%d", i%3), Pool: "p", MemoryBytes: memory, FreeBytes: memory, Serving: true}
	}
	return out
}

// applyMoves applies moves to a shard and fails if one exceeds a worker's memory.
func applyMoves(t assert.TestingT, shard Shard, moves []Move) Shard {
	bytes := map[wire.Artifact]int64{}
	for _, it := range shard.Items {
		bytes[it.Artifact] = it.Bytes
	}
	for _, m := range moves {
		for n := range shard.Workers {
			w := &shard.Workers[n]
			if w.Name != m.Worker {
				continue
			}
			if m.Unload {
				w.Residents = removeArtifact(w.Residents, m.Artifact)
				w.FreeBytes += bytes[m.Artifact]
				continue
			}
			w.Residents = append(w.Residents, m.Artifact)
			w.FreeBytes -= bytes[m.Artifact]
			assert.Assert(t, w.FreeBytes >= 0, "%s overcommitted by %v", w.Name, m)
		}
	}
	return shard
}

func removeArtifact(list []wire.Artifact, a wire.Artifact) []wire.Artifact {
	var out []wire.Artifact
	for _, r := range list {
		if r != a {
			out = append(out, r)
		}
	}
	return out
}

func replicas(shard Shard, a wire.Artifact) int {
	count := 0
	for _, w := range shard.Workers {
		for _, r := range w.Residents {
			if r == a {
				count++
			}
		}
	}
	return count
}

func TestPlanMakesEveryItemReachableWithoutOvercommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var shard Shard
		var demand []Demand
		models := rapid.IntRange(1, 12).Draw(t, "models")
		for i := range models {
			m := item(fmt.Sprintf("m%02d", i), "1", int64(rapid.IntRange(5, 20).Draw(t, "bytes")))
			shard.Items = append(shard.Items, m)
			shard.Items = append(shard.Items, adapterOf(m, fmt.Sprintf("a%02d", i), 1))
			demand = append(demand, Demand{Artifact: m.Artifact, Rate: rapid.Float64Range(0, 30).Draw(t, "rate"), Service: 100 * time.Millisecond})
		}
		shard.Workers = workers(rapid.IntRange(6, 10).Draw(t, "workers"), 60)
		settled := false
		for range 8 {
			moves := Plan(shard, demand, Weights{}, testTime)
			settled = len(moves) == 0
			shard = applyMoves(t, shard, moves)
		}
		for _, it := range shard.Items {
			assert.Assert(t, replicas(shard, it.Artifact) > 0, "%s is not loaded anywhere", it.Artifact)
		}
		assert.Assert(t, settled, "plans for a steady demand do not converge")
	})
}

func TestPlanFollowsDemandOnlyWhenItPaysOff(t *testing.T) {
	hot, cold := item("hot", "1", 50), item("cold", "1", 50)
	other, rest := item("other", "1", 50), item("rest", "1", 50)
	shard := Shard{Items: []Item{hot, cold, other, rest}, Workers: workers(6, 50)}
	demand := []Demand{{Artifact: hot.Artifact, Rate: 10, Service: 200 * time.Millisecond}}
	shard = applyMoves(t, shard, Plan(shard, demand, Weights{}, testTime))
	assert.Assert(t, replicas(shard, hot.Artifact) == 3, "%d", replicas(shard, hot.Artifact))
	expensive := DefaultWeights
	expensive.Moves = 1000
	shard = Shard{Items: shard.Items, Workers: workers(6, 50)}
	shard = applyMoves(t, shard, Plan(shard, demand, expensive, testTime))
	assert.Equal(t, replicas(shard, hot.Artifact), 1)
}

func TestPlanReplacesSurplusReplicaWithUnloadedModel(t *testing.T) {
	a, b := item("a", "1", 50), item("b", "1", 50)
	shard := Shard{Items: []Item{a, b}, Workers: workers(2, 50)}
	for n := range shard.Workers {
		shard.Workers[n].Residents = []wire.Artifact{a.Artifact}
		shard.Workers[n].FreeBytes = 0
	}
	shard = applyMoves(t, shard, Plan(shard, nil, Weights{}, testTime))
	assert.Equal(t, replicas(shard, a.Artifact), 1)
	assert.Equal(t, replicas(shard, b.Artifact), 1)
}

func TestPlanKeepsOldVersionUntilNewIsLoaded(t *testing.T) {
	shard := Shard{Items: []Item{item("m", "2", 50)}, Workers: workers(2, 50)}
	shard.Workers[0].Residents = []wire.Artifact{artifact("m", "1")}
	shard.Workers[0].FreeBytes = 0
	moves := Plan(shard, nil, Weights{}, testTime)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].Worker, "w01")
	shard.Workers[1].Residents = []wire.Artifact{artifact("m", "2")}
	shard.Workers[1].FreeBytes = 0
	moves = Plan(shard, nil, Weights{}, testTime)
	assert.Equal(t, len(moves), 1)
	assert.Assert(t, moves[0].Unload)
}

func TestPlanSpreadsOverZonesWhereMemoryAllows(t *testing.T) {
	m := item("m", "1", 10)
	shard := Shard{Items: []Item{m}, Workers: workers(3, 50)}
	shard = applyMoves(t, shard, Plan(shard, nil, Weights{}, testTime))
	assert.Equal(t, replicas(shard, m.Artifact), 2)
}

func TestDemandRisesFastAndFallsSlowly(t *testing.T) {
	e := NewEstimator(1)
	a := artifact("m", "1")
	now := testTime
	observe := func(count, seconds int) float64 {
		for range seconds {
			now = now.Add(time.Second)
			e.Observe(map[wire.Artifact]int{a: count}, now)
		}
		return e.Rates()[0].Rate
	}
	e.Observe(nil, now)
	assert.Assert(t, observe(10, 10) > 9)
	assert.Assert(t, observe(0, 10) > 8)
	assert.Assert(t, observe(0, 600) < 1)
}

func BenchmarkPlan(b *testing.B) {
	var shard Shard
	var demand []Demand
	for i := range 500 {
		m := item(fmt.Sprintf("m%04d", i), "1", 8)
		shard.Items = append(shard.Items, m)
		demand = append(demand, Demand{Artifact: m.Artifact, Rate: 20 / float64(i+1), Service: 200 * time.Millisecond})
		for j := range 3 {
			if len(shard.Items) < 1900 {
				shard.Items = append(shard.Items, adapterOf(m, fmt.Sprintf("a%04d-%d", i, j), 1))
			}
		}
	}
	shard.Workers = workers(32, 300)
	b.Run("from nothing", func(b *testing.B) {
		for b.Loop() {
			Plan(shard, demand, Weights{}, testTime)
		}
	})
	shard = applyMoves(b, shard, Plan(shard, demand, Weights{}, testTime))
	b.Run("steady", func(b *testing.B) {
		for b.Loop() {
			Plan(shard, demand, Weights{}, testTime)
		}
	})
}

// TestPlanDoesNotSpreadWithinOneZone checks that no replica is added for
// spreading if the pool has only one availability zone.
func TestPlanDoesNotSpreadWithinOneZone(t *testing.T) {
	shard := Shard{Items: []Item{item("a", "1", 10), item("b", "1", 10)}, Workers: workers(4, 1000)}
	for n := range shard.Workers {
		shard.Workers[n].Zone = "only"
	}
	shard = applyMoves(t, shard, Plan(shard, nil, DefaultWeights, testTime))
	assert.Equal(t, len(Plan(shard, nil, DefaultWeights, testTime)), 0)
}
