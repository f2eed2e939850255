// Package replay measures policies: it replays a seeded workload through real entry
// and side processes with stand-in engines and prints attainment per accelerator,
// moves and latencies.
package replay

import (
	"fmt"
	"time"

	"peridotchute.example/config"
)

// Deployment describes the size of a user's deployment and the limits of its platform.
// Times are before scaling.
type Deployment struct {
	Name            string
	Title           string
	Pool            string
	Regions         []config.Region
	Zones           []string // of the workers, round-robin
	Workers         int
	Models          int
	Adapters        int
	WorkerBytes     int64
	ModelBytes      [2]int64 // minimum and maximum
	AdapterBytes    int64
	LoadsPerSecond  float64
	ConcurrentLoads int
	ModelLoad       time.Duration
	AdapterLoads    int
	AdapterLoad     time.Duration
	FirstToken      time.Duration // target for the time to the first token
	Token           time.Duration // target for the mean time per token
	CallerTimeout   time.Duration // of each request
	Rate            float64       // mean requests per second outside bursts
	Attainment      float64       // weight of attainment in the placement policy
	Moves           float64       // weight of moves in the placement policy
}

const gigabyte = 1 << 30

// Deployments lists the deployments of both users.
var Deployments = []Deployment{
	{
		Name:  "tweed-tay",
		Title: "Tweed & Tay",
		Pool:  "assistant",
		Regions: []config.Region{
			{Name: "scot-east", Zones: []string{"scot-east-a", "scot-east-b"}, Store: true},
			{Name: "scot-west", Zones: []string{"scot-west-a"}},
		},
		Zones:           []string{"scot-east-a", "scot-east-b", "scot-west-a"},
		Workers:         18,
		Models:          30,
		Adapters:        95,
		WorkerBytes:     80 * gigabyte,
		ModelBytes:      [2]int64{12 * gigabyte, 26 * gigabyte},
		AdapterBytes:    gigabyte / 2,
		LoadsPerSecond:  2,
		ConcurrentLoads: 10,
		ModelLoad:       5 * time.Second,
		AdapterLoads:    90,
		AdapterLoad:     7 * time.Millisecond,
		FirstToken:      1900 * time.Millisecond,
		Token:           36 * time.Millisecond,
		CallerTimeout:   10 * time.Second,
		Rate:            65,
		Attainment:      3,
		Moves:           1,
	},
	{
		Name:  "piton-ridge",
		Title: "Piton Ridge",
		Pool:  "briefing",
		Regions: []config.Region{
			{Name: "north-isle", Zones: []string{"north-isle-a", "north-isle-b"}, Store: true},
			{Name: "south-isle", Zones: []string{"south-isle-a"}},
		},
		Zones:           []string{"north-isle-a", "north-isle-b", "south-isle-a"},
		Workers:         18,
		Models:          40,
		Adapters:        100,
		WorkerBytes:     80 * gigabyte,
		ModelBytes:      [2]int64{10 * gigabyte, 22 * gigabyte},
		AdapterBytes:    gigabyte / 2,
		LoadsPerSecond:  2,
		ConcurrentLoads: 3,
		ModelLoad:       5 * time.Second,
		AdapterLoads:    25,
		AdapterLoad:     7 * time.Millisecond,
		FirstToken:      1900 * time.Millisecond,
		Token:           36 * time.Millisecond,
		CallerTimeout:   20 * time.Second,
		Rate:            60,
		Attainment:      1,
		Moves:           3,
	},
}

// regionOf returns the region of a zone.
func (d Deployment) regionOf(zone string) string {
	for _, r := range d.Regions {
		for _, z := range r.Zones {
			if z == zone {
				return r.Name
			}
		}
	}
	return ""
}

const (
	callerKey = "replay-caller-key"
	version   = "1"
)

// declaration returns the configuration of a run.
func (d Deployment) declaration(scale float64) *config.Configuration {
	c := &config.Configuration{
		Regions: d.Regions,
		Pools:   []config.Pool{{Name: d.Pool, MemoryBytes: d.WorkerBytes, Accelerators: 1}},
		Teams:   []config.Team{{Name: "replay", KeyHashes: []string{config.HashKey(callerKey)}}},
		Policy: config.Policy{
			AttainmentWeight: d.Attainment,
			MoveWeight:       d.Moves,
			LoadsPerSecond:   d.LoadsPerSecond / scale,
			ConcurrentLoads:  d.ConcurrentLoads,
			AdapterLoads:     d.AdapterLoads,
		},
	}
	target := config.Target{
		FirstTokenMS: int(scaled(d.FirstToken, scale).Milliseconds()),
		TokenMS:      int(scaled(d.Token, scale).Milliseconds()),
	}
	for i := range d.Models {
		c.Models = append(c.Models, config.Model{
			Name: modelName(i), Version: version, Pool: d.Pool, MemoryBytes: d.modelBytes(i), Target: target,
		})
	}
	for i := range d.Adapters {
		c.Adapters = append(c.Adapters, config.Adapter{
			Name: fmt.Sprintf("adapter-%03d", i), Version: version, Model: modelName(i % d.Models), MemoryBytes: d.AdapterBytes,
		})
	}
	return c
}

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

// modelBytes returns the size of a model. Sizes are spread evenly over the range.
func (d Deployment) modelBytes(i int) int64 {
	span := d.ModelBytes[1] - d.ModelBytes[0]
	return d.ModelBytes[0] + span*int64((i*7)%d.Models)/int64(d.Models)
}

func scaled(d time.Duration, scale float64) time.Duration {
	return time.Duration(float64(d) * scale)
}
