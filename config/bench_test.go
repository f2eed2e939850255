package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Sizes that the system is designed for.
const (
	largeModels   = 1900
	largeAdapters = 6000
	largeServers  = 600
)

// newLargeConfiguration returns a valid configuration of the size that the system
// is designed for.
func newLargeConfiguration(tb testing.TB) *Configuration {
	c := &Configuration{
		Regions: []Region{{Name: "a", Zones: []string{"a1", "a2"}}, {Name: "b", Zones: []string{"b1", "b2"}}},
		Pools:   []Pool{{Name: "gpu", MemoryBytes: 640 << 30, Accelerators: 8, Servers: largeServers}},
		Teams:   []Team{{Name: "t", KeyHashes: []string{HashKey("k")}}},
	}
	for i := range largeModels {
		c.Models = append(c.Models, Model{Name: fmt.Sprintf("model-%04d", i), Version: "1", Pool: "gpu", MemoryBytes: int64(8+i%64) << 30, Replicas: 2})
	}
	for i := range largeAdapters {
		c.Adapters = append(c.Adapters, Adapter{Name: fmt.Sprintf("adapter-%04d", i), Version: "1", Model: c.Models[i%largeModels].Name, MemoryBytes: 200 << 20})
	}
	assert.Equal(tb, len(Check(c, nil)), 0)
	return c
}

// BenchmarkPlan measures the CPU time of planning one change: parsing the
// declaration and computing its difference, effects and digest.
func BenchmarkPlan(b *testing.B) {
	head := newLargeConfiguration(b)
	next := newLargeConfiguration(b)
	next.Models[7].Version = "2"
	raw := []byte(encode(next))
	b.ReportMetric(float64(len(raw)), "bytes/declaration")
	for b.Loop() {
		c, err := Parse("d", raw, nil)
		assert.NilError(b, err)
		assert.Equal(b, len(Diff(head, c)), 1)
		assert.Equal(b, len(EffectsOf(head, c, nil).Moves), 2)
		assert.Equal(b, len(Digest(c)), 64)
	}
}
