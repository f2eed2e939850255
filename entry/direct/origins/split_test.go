package origins

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

// serversOf returns servers of the test's service, each with its software version and models.
func serversOf(software string, n int, models ...string) []fleet.Server {
	var out []fleet.Server
	for i := range n {
		s := fleet.Server{ID: fmt.Sprint(software, "-", i), Service: service, Software: software}
		for _, m := range models {
			s.Residents = append(s.Residents, fleet.Resident{Model: m})
		}
		out = append(out, s)
	}
	return out
}

func anyVersion(string) bool { return true }

func TestSplitGivesStreamsByNumberOfServers(t *testing.T) {
	const streams = 8000
	servers := append(serversOf("v1", 3, model), serversOf("v2", 1, model)...)
	split := Split{Shares: sharesOf(servers, service, anyVersion)}
	count := map[string]int{}
	for i := range streams {
		count[split.version(model, fmt.Sprint(i))]++
	}
	assert.Equal(t, count["v1"]+count["v2"], streams)
	assert.Assert(t, count["v2"] > streams/5 && count["v2"] < 3*streams/10, "%v", count)
}

// TestChangedSplitMovesFewStreams takes one of eight servers to the other version.
func TestChangedSplitMovesFewStreams(t *testing.T) {
	const streams = 8000
	before := Split{Shares: sharesOf(append(serversOf("v1", 5, model), serversOf("v2", 3, model)...), service, anyVersion)}
	after := Split{Shares: sharesOf(append(serversOf("v1", 4, model), serversOf("v2", 4, model)...), service, anyVersion)}
	moved := 0
	for i := range streams {
		id := fmt.Sprint(i)
		if before.version(model, id) != after.version(model, id) {
			moved++
		}
	}
	assert.Assert(t, moved > 0 && moved < streams/4, "%d of %d", moved, streams)
}

func TestSplitCoversOnlyLoadedModels(t *testing.T) {
	servers := append(serversOf("v1", 1, "a"), serversOf("v2", 1, "a", "b")...)
	draining := serversOf("v3", 1, "c")
	draining[0].Draining = true
	split := Split{Shares: sharesOf(append(servers, draining...), service, anyVersion)}
	assert.Equal(t, split.version("b", "x"), "v2")
	for _, m := range []string{"c", "d", ""} {
		assert.Equal(t, split.version(m, "x"), "", m)
	}
	assert.Equal(t, len(sharesOf(servers, "other", anyVersion)), 0)
	servers[1].Residents[0].Adapters = []string{"x"}
	split = Split{Shares: sharesOf(servers, service, anyVersion)}
	assert.Equal(t, split.version("a/x", "x"), "v2", "the adapter is loaded there")
	assert.Equal(t, split.version("a/y", "x"), "")
	only := Split{Shares: sharesOf(servers, service, func(software string) bool { return software == "v1" })}
	assert.Equal(t, only.version("a", "x"), "v1")
	assert.Equal(t, only.version("b", "x"), "")
}

func TestSplitIsBounded(t *testing.T) {
	var models []string
	for i := range maxSplitArtifacts + 100 {
		models = append(models, fmt.Sprintf("m%04d", i))
	}
	shares := sharesOf(append(serversOf("v1", 1, models...), serversOf("v2", 1, models[50:]...)...), service, anyVersion)
	n := 0
	for _, s := range shares {
		n += len(s.Artifacts)
	}
	assert.Equal(t, n, maxSplitArtifacts)
	split := Split{Shares: shares}
	assert.Equal(t, split.version(models[0], "x"), "", "it has fewest servers")
	assert.Assert(t, split.version(models[50], "x") != "")
}

func TestStreamOfDifferingSplitsIsNotAssigned(t *testing.T) {
	v1 := Split{Number: 1, Shares: []Share{{Artifacts: []string{model}, Weights: map[string]int{"v1": 8}}}}
	v2 := Split{Number: 2, Shares: []Share{{Artifacts: []string{model}, Weights: map[string]int{"v2": 8}}}}
	assert.Equal(t, assigned([]Split{v1}, model, "x"), "v1")
	assert.Equal(t, assigned([]Split{v1, v1}, model, "x"), "v1")
	for _, splits := range [][]Split{nil, {v1, v2}, {{}, v1}, {v1, {}}} {
		assert.Equal(t, assigned(splits, model, "x"), "", "%v", splits)
	}
}

func BenchmarkSplitVersion(b *testing.B) {
	var models []string
	for i := range maxSplitArtifacts {
		models = append(models, fmt.Sprintf("m%04d", i))
	}
	split := Split{Shares: sharesOf(append(serversOf("v1", 4, models...), serversOf("v2", 4, models...)...), service, anyVersion)}
	b.ReportAllocs()
	for b.Loop() {
		split.version(models[500], "f49bdb1f2606aee8")
	}
}
