package planner

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/config"
	"peridotchute.example/placement"
)

// shardSize is the largest number of workers planned together.
const shardSize = 32

// shard is a group of workers with the artifacts that live there.
type shard struct {
	id      string
	pool    string
	workers []string // names
}

// worker is what shards are formed from.
type worker struct {
	name string
	pool string
}

// shardsOf forms the shards of every pool. All entries with the same view form
// the same shards.
func shardsOf(workers []worker) []shard {
	byPool := map[string][]string{}
	for _, w := range workers {
		byPool[w.pool] = append(byPool[w.pool], w.name)
	}
	pools := make([]string, 0, len(byPool))
	for p := range byPool {
		pools = append(pools, p)
	}
	sort.Strings(pools)
	var out []shard
	for _, p := range pools {
		names := byPool[p]
		sort.Strings(names)
		count := (len(names) + shardSize - 1) / shardSize
		for k := range count {
			s := shard{id: fmt.Sprintf("%s/%d", p, k), pool: p}
			for i := k; i < len(names); i += count {
				s.workers = append(s.workers, names[i])
			}
			out = append(out, s)
		}
	}
	return out
}

// itemsOf returns the artifacts that live in the shard: each model, with its
// adapters, in the shard of its pool with the highest rendezvous weight.
func itemsOf(s shard, all []shard, conf *config.Configuration) []placement.Item {
	var out []placement.Item
	models := map[string]config.Model{}
	for _, m := range conf.Models {
		if m.Pool != s.pool || home(m.Name, s.pool, all) != s.id {
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

func home(model, pool string, all []shard) string {
	best, weight := "", uint64(0)
	for _, s := range all {
		if s.pool != pool {
			continue
		}
		if w := xxhash.Sum64String(model + "\x00" + s.id); best == "" || w > weight {
			best, weight = s.id, w
		}
	}
	return best
}

// watchers is how many entries look after one shard's lease.
const watchers = 2

// watches reports whether the entry is among the entries that look after a
// shard: those with the highest rendezvous weights.
func watches(self string, entries []string, shardID string) bool {
	own := xxhash.Sum64String(self + "\x00" + shardID)
	higher := 0
	for _, e := range entries {
		if e != self && xxhash.Sum64String(e+"\x00"+shardID) > own {
			higher++
		}
	}
	return higher < watchers
}
