package config

import (
	"cmp"
	"fmt"
	"slices"
)

// bundle is a model with its adapters, which stand beside it.
type bundle struct {
	field    string // of the model in the configuration
	model    Model
	adapters []adapterAt
}

type adapterAt struct {
	field   string
	adapter Adapter
}

// bytes returns the memory of the whole bundle over all replicas.
func (b bundle) bytes() int64 {
	sum := b.model.MemoryBytes * int64(replicas(b.model.Replicas))
	for _, a := range b.adapters {
		sum += a.adapter.MemoryBytes * int64(replicas(a.adapter.Replicas))
	}
	return sum
}

// share returns the memory that one replica of the model should find.
func (b bundle) share() int64 {
	n := int64(replicas(b.model.Replicas))
	return (b.bytes() + n - 1) / n
}

func replicas(declared int) int { return max(declared, 1) }

// bundles returns the bundles of a pool, largest first.
func bundles(c *Configuration, pool string) []bundle {
	var out []bundle
	at := map[string]int{}
	for i, m := range c.Models {
		if m.Pool == pool {
			at[m.Name] = len(out)
			out = append(out, bundle{field: fmt.Sprintf("models[%d]", i), model: m})
		}
	}
	for i, a := range c.Adapters {
		if j, ok := at[a.Model]; ok {
			out[j].adapters = append(out[j].adapters, adapterAt{field: fmt.Sprintf("adapters[%d]", i), adapter: a})
		}
	}
	slices.SortStableFunc(out, func(a, b bundle) int { return cmp.Compare(b.share(), a.share()) })
	return out
}

// memory checks that the artifacts of each pool can all be resident.
func (k *checker) memory() {
	for i, p := range k.c.Pools {
		n, known := k.fleet.servers(p)
		all := bundles(k.c, p.Name)
		switch {
		case len(all) == 0:
		case p.MemoryBytes == 0:
			k.add(fmt.Sprintf("pools[%d].memory_bytes", i), "give the memory for weights of one server", "pool %q has models but no memory", p.Name)
		case known:
			k.fit(fmt.Sprintf("pools[%d]", i), p, n, all)
		}
	}
}

// fit reports the total that does not fit a pool, or else what finds no place.
func (k *checker) fit(field string, p Pool, servers int, all []bundle) {
	var need int64
	for _, b := range all {
		need += b.bytes()
	}
	if have := p.MemoryBytes * int64(servers); need > have {
		k.add(field, "add servers, or lower replicas", "its models and adapters need %d bytes, %d servers have %d", need, servers, have)
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

// place puts a bundle on the fullest servers that can take it.
func (k *checker) place(p Pool, b bundle, free []int64) {
	want := replicas(b.model.Replicas)
	if want > len(free) {
		k.add(b.field+".replicas", "lower replicas or add servers", "%d replicas need as many servers, pool %q has %d", want, p.Name, len(free))
		return
	}
	hosts := fullest(free, b.share(), want)
	if len(hosts) < want {
		hosts = emptiest(free, want)
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

func (k *checker) placeAdapters(b bundle, hosts []int, free []int64) {
	all := slices.Clone(b.adapters)
	slices.SortStableFunc(all, func(x, y adapterAt) int { return cmp.Compare(y.adapter.MemoryBytes, x.adapter.MemoryBytes) })
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

// fullest returns up to n servers with room for bytes, least room first.
func fullest(free []int64, bytes int64, n int) []int {
	var out []int
	for i := range free {
		if free[i] >= bytes {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(free[a], free[b]) })
	return out[:min(n, len(out))]
}

// emptiest returns the n servers with most room.
func emptiest(free []int64, n int) []int {
	out := make([]int, len(free))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(free[b], free[a]) })
	return out[:n]
}
