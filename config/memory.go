package config

import (
	"cmp"
	"fmt"
	"slices"
)

// modelGroup is a model with its adapters, which are loaded on the same servers.
type modelGroup struct {
	field    string // path of the model in the configuration
	model    Model
	adapters []adapterField
}

type adapterField struct {
	field   string
	adapter Adapter
}

// bytes returns the memory of all replicas of the model and its adapters.
func (g modelGroup) bytes() int64 {
	sum := g.model.MemoryBytes * int64(replicas(g.model.Replicas))
	for _, a := range g.adapters {
		sum += a.adapter.MemoryBytes * int64(replicas(a.adapter.Replicas))
	}
	return sum
}

// bytesPerReplica returns the average memory per replica of the model, including
// adapters.
func (g modelGroup) bytesPerReplica() int64 {
	n := int64(replicas(g.model.Replicas))
	return (g.bytes() + n - 1) / n
}

func replicas(declared int) int { return max(declared, 1) }

// modelGroups returns the models of a pool with their adapters, in descending order
// of bytesPerReplica.
func modelGroups(c *Configuration, pool string) []modelGroup {
	var out []modelGroup
	indexByName := map[string]int{}
	for i, m := range c.Models {
		if m.Pool == pool {
			indexByName[m.Name] = len(out)
			out = append(out, modelGroup{field: fmt.Sprintf("models[%d]", i), model: m})
		}
	}
	for i, a := range c.Adapters {
		if j, ok := indexByName[a.Model]; ok {
			out[j].adapters = append(out[j].adapters, adapterField{field: fmt.Sprintf("adapters[%d]", i), adapter: a})
		}
	}
	slices.SortStableFunc(out, func(a, b modelGroup) int { return cmp.Compare(b.bytesPerReplica(), a.bytesPerReplica()) })
	return out
}

// checkMemory checks that all artifacts of each pool fit in its memory.
func (k *checker) checkMemory() {
	for i, p := range k.c.Pools {
		n, known := k.fleet.servers(p)
		all := modelGroups(k.c, p.Name)
		switch {
		case len(all) == 0:
		case p.MemoryBytes == 0:
			k.add(fmt.Sprintf("pools[%d].memory_bytes", i), "set the memory for weights of one server", "pool %q has models but no memory", p.Name)
		case known:
			k.checkFit(fmt.Sprintf("pools[%d]", i), p, n, all)
		}
	}
}

// checkFit checks that a pool has enough memory in total and, if so, that each
// artifact can be allocated on its servers.
func (k *checker) checkFit(field string, p Pool, servers int, all []modelGroup) {
	var need int64
	for _, b := range all {
		need += b.bytes()
	}
	if available := p.MemoryBytes * int64(servers); need > available {
		k.add(field, "add servers, or lower replicas", "its models and adapters need %d bytes, %d servers have %d", need, servers, available)
		return
	}
	free := make([]int64, servers)
	for i := range free {
		free[i] = p.MemoryBytes
	}
	for _, b := range all {
		k.place(p, b, free)
	}
}

// place allocates memory for a model and its adapters on the servers with the
// least free memory that is enough for them or, if there are too few of these, on
// the servers with the most free memory.
func (k *checker) place(p Pool, b modelGroup, free []int64) {
	want := replicas(b.model.Replicas)
	if want > len(free) {
		k.add(b.field+".replicas", "lower replicas or add servers", "%d replicas need as many servers, pool %q has %d", want, p.Name, len(free))
		return
	}
	hosts := leastFree(free, b.bytesPerReplica(), want)
	if len(hosts) < want {
		hosts = mostFree(free, want)
	}
	for _, h := range hosts {
		if free[h] < b.model.MemoryBytes {
			k.add(b.field+".memory_bytes", "add servers, or lower replicas", "model %q cannot be resident: no server of pool %q has %d bytes left", b.model.Name, p.Name, b.model.MemoryBytes)
			return
		}
		free[h] -= b.model.MemoryBytes
	}
	k.placeAdapters(b, hosts, free)
}

func (k *checker) placeAdapters(b modelGroup, hosts []int, free []int64) {
	all := slices.Clone(b.adapters)
	slices.SortStableFunc(all, func(x, y adapterField) int { return cmp.Compare(y.adapter.MemoryBytes, x.adapter.MemoryBytes) })
	for _, a := range all {
		slices.SortStableFunc(hosts, func(x, y int) int { return cmp.Compare(free[y], free[x]) })
		for _, h := range hosts[:replicas(a.adapter.Replicas)] {
			if free[h] < a.adapter.MemoryBytes {
				k.add(a.field+".memory_bytes", "raise the model's replicas or add servers", "adapter %q cannot be resident beside its model %q", a.adapter.Name, b.model.Name)
				break
			}
			free[h] -= a.adapter.MemoryBytes
		}
	}
}

// leastFree returns up to n servers with at least the given free memory, those
// with the least free memory first.
func leastFree(free []int64, bytes int64, n int) []int {
	var out []int
	for i := range free {
		if free[i] >= bytes {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(free[a], free[b]) })
	return out[:min(n, len(out))]
}

// mostFree returns the n servers with the most free memory.
func mostFree(free []int64, n int) []int {
	out := make([]int, len(free))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(free[b], free[a]) })
	return out[:n]
}
