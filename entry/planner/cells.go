package planner

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/config"
	"peridotchute.example/placement"
)

// cellSize is the largest number of workers planned together.
const cellSize = 32

// cell is a group of workers with the artifacts that live there.
type cell struct {
	id      string
	pool    string
	workers []string // names
}

// worker is what cells are formed from.
type worker struct {
	name string
	pool string
}

// cellsOf forms the cells of every pool. All entries with the same view form
// the same cells.
func cellsOf(workers []worker) []cell {
	byPool := map[string][]string{}
	for _, w := range workers {
		byPool[w.pool] = append(byPool[w.pool], w.name)
	}
	pools := make([]string, 0, len(byPool))
	for p := range byPool {
		pools = append(pools, p)
	}
	sort.Strings(pools)
	var out []cell
	for _, p := range pools {
		names := byPool[p]
		sort.Strings(names)
		count := (len(names) + cellSize - 1) / cellSize
		for k := range count {
			c := cell{id: fmt.Sprintf("%s/%d", p, k), pool: p}
			for i := k; i < len(names); i += count {
				c.workers = append(c.workers, names[i])
			}
			out = append(out, c)
		}
	}
	return out
}

// itemsOf returns the artifacts that live in the cell: each model, with its
// adapters, in the cell of its pool with the highest rendezvous weight.
func itemsOf(c cell, all []cell, conf *config.Configuration) []placement.Item {
	var out []placement.Item
	models := map[string]config.Model{}
	for _, m := range conf.Models {
		if m.Pool != c.pool || home(m.Name, c.pool, all) != c.id {
			continue
		}
		models[m.Name] = m
		out = append(out, placement.Item{Artifact: m.Artifact(), Base: m.Artifact(), Pool: m.Pool, Bytes: m.MemoryBytes, Replicas: m.Replicas})
	}
	for _, a := range conf.Adapters {
		if m, ok := models[a.Model]; ok {
			out = append(out, placement.Item{Artifact: a.Artifact(), Base: m.Artifact(), Pool: m.Pool, Bytes: a.MemoryBytes, Replicas: a.Replicas})
		}
	}
	return out
}

func home(model, pool string, all []cell) string {
	best, weight := "", uint64(0)
	for _, c := range all {
		if c.pool != pool {
			continue
		}
		if w := xxhash.Sum64String(model + "\x00" + c.id); best == "" || w > weight {
			best, weight = c.id, w
		}
	}
	return best
}

// watchers is how many entries look after one cell's lease.
const watchers = 2

// watches reports whether the entry is among the entries that look after a
// cell: those with the highest rendezvous weights.
func watches(self string, entries []string, cellID string) bool {
	own := xxhash.Sum64String(self + "\x00" + cellID)
	higher := 0
	for _, e := range entries {
		if e != self && xxhash.Sum64String(e+"\x00"+cellID) > own {
			higher++
		}
	}
	return higher < watchers
}
