package cluster

import (
	"peridotchute.example/config"
)

// Names in the sample configuration.
const (
	SampleKey        = "sample-key" // of the team "sample"
	SampleModel      = "alpha"
	SampleModel2     = "beta"
	SampleAdapter    = "alpha-maps" // of SampleModel
	SampleService    = "bookings"
	SampleEnginePool = "engines"
	SamplePlainPool  = "plain"
)

// Sizes in the sample configuration, in bytes.
const (
	SampleMemoryBytes  = 64 << 30
	sampleModelBytes   = 16 << 30
	sampleAdapterBytes = 256 << 20
)

// Sample returns a configuration with two models, three adapters and a plain
// service with one non-idempotent action, in the given availability zones.
func Sample(zones []Zone) *config.Configuration {
	adapter := func(name string) config.Adapter {
		return config.Adapter{Name: name, Version: "1", Model: SampleModel, MemoryBytes: sampleAdapterBytes}
	}
	model := func(name string) config.Model {
		return config.Model{Name: name, Version: "1", Pool: SampleEnginePool, MemoryBytes: sampleModelBytes, Replicas: 2}
	}
	return &config.Configuration{
		Version: 1,
		Regions: regions(zones),
		Pools: []config.Pool{
			{Name: SampleEnginePool, MemoryBytes: SampleMemoryBytes, Accelerators: 1, Fencing: true},
			{Name: SamplePlainPool},
		},
		Models:   []config.Model{model(SampleModel), model(SampleModel2)},
		Adapters: []config.Adapter{adapter(SampleAdapter), adapter("alpha-stock"), adapter("alpha-permits")},
		Services: []config.Service{{
			Name:       SampleService,
			Pool:       SamplePlainPool,
			Actions:    []config.Action{{Method: "POST", Path: "/charge"}},
			Idempotent: []config.Action{{Method: "POST", Path: "/slots"}},
		}},
		Teams: []config.Team{{Name: "sample", KeyHashes: []string{config.HashKey(SampleKey)}}},
		Policy: config.Policy{
			AttainmentWeight: 1, MoveWeight: 1,
			LoadsPerSecond: 1000, ConcurrentLoads: 100, AdapterLoads: 100,
			MaxBodyBytes: 1 << 20,
		},
	}
}

func regions(zones []Zone) []config.Region {
	var out []config.Region
	indexByRegion := map[string]int{}
	for _, z := range zones {
		i, ok := indexByRegion[z.Region]
		if !ok {
			i = len(out)
			indexByRegion[z.Region] = i
			out = append(out, config.Region{Name: z.Region, Store: i == 0})
		}
		out[i].Zones = append(out[i].Zones, z.Name)
	}
	return out
}
