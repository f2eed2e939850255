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

// shard is a group of workers of one pool that are planned together. Each
// artifact belongs to one shard.
type shard struct {
	id      string
	pool    string
	workers []string // names
}

// worker is a backend server to be assigned to a shard.
type worker struct {
	name string
	pool string
}

// shardsOf divides the workers of each pool into shards. The result depends only
// on the set of workers, so entries with the same view get the same shards.
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

// itemsOf returns the artifacts that belong to the shard. A model and its
// adapters belong to the shard of the model's pool with the highest rendezvous
// weight.
func itemsOf(s shard, all []shard, conf *config.Configuration) []placement.Item {
	var out []placement.Item
	models := map[string]config.Model{}
	for _, m := range conf.Models {
		if m.Pool != s.pool || homeShard(m.Name, s.pool, all) != s.id {
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

// homeShard returns the id of the shard that the model belongs to, or "" if the
// pool has no shards.
func homeShard(model, pool string, all []shard) string {
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

// watchers is the number of entries that try to acquire and renew the lease of a
// shard.
const watchers = 2

// watches reports whether the entry self is one of the watchers of the shard,
// which are the entries with the highest rendezvous weights.
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
