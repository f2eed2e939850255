package config

import (
	"fmt"
	"time"

	"peridotchute.example/common/wire"
)

// shortRetention is the outcome retention below which a warning is added.
const shortRetention = time.Hour

// Move is the loading or unloading of one artifact that a change causes.
type Move struct {
	Artifact wire.Artifact `json:"artifact"`
	Pool     string        `json:"pool"`
	Unload   bool          `json:"unload,omitempty"`
	Servers  int           `json:"servers"` // number of servers that load or unload it
	Bytes    int64         `json:"bytes"`   // per server
}

// PoolMemory is the accelerator memory that a pool's artifacts use, in bytes.
type PoolMemory struct {
	Pool     string `json:"pool"`
	Servers  int    `json:"servers"`  // 0 when unknown
	Capacity int64  `json:"capacity"` // of all servers together
	Before   int64  `json:"before"`
	During   int64  `json:"during"` // while old and new versions are both resident
	After    int64  `json:"after"`
}

// Effects are the consequences of accepting a configuration.
type Effects struct {
	Moves    []Move       `json:"moves"`
	Memory   []PoolMemory `json:"memory"`
	Warnings []string     `json:"warnings"`
}

// placement is an artifact with the servers and memory that it needs.
type placement struct {
	artifact wire.Artifact
	pool     string
	servers  int
	bytes    int64
}

// EffectsOf returns the moves, memory use and warnings of a change from one valid
// configuration to another. A nil from counts as empty.
func EffectsOf(from, to *Configuration, fleet Fleet) Effects {
	if from == nil {
		from = &Configuration{}
	}
	before, after := placements(from), placements(to)
	e := Effects{Moves: []Move{}, Memory: []PoolMemory{}, Warnings: []string{}}
	e.addMoves(before, after)
	for _, p := range to.Pools {
		e.Memory = append(e.Memory, poolMemory(p, before, after, fleet))
	}
	e.addWarnings(from, to, fleet)
	return e
}

func placements(c *Configuration) []placement {
	var out []placement
	pools := map[string]string{}
	for _, m := range c.Models {
		pools[m.Name] = m.Pool
		out = append(out, placement{artifact: m.Artifact(), pool: m.Pool, servers: replicas(m.Replicas), bytes: m.MemoryBytes})
	}
	for _, a := range c.Adapters {
		out = append(out, placement{artifact: a.Artifact(), pool: pools[a.Model], servers: replicas(a.Replicas), bytes: a.MemoryBytes})
	}
	return out
}

// placementKey identifies a placement.
type placementKey struct {
	artifact wire.Artifact
	pool     string
}

func byKey(all []placement) map[placementKey]placement {
	out := make(map[placementKey]placement, len(all))
	for _, p := range all {
		out[placementKey{p.artifact, p.pool}] = p
	}
	return out
}

func (e *Effects) addMoves(before, after []placement) {
	old, next := byKey(before), byKey(after)
	for _, p := range after {
		if n := p.servers - old[placementKey{p.artifact, p.pool}].servers; n > 0 {
			e.Moves = append(e.Moves, Move{Artifact: p.artifact, Pool: p.pool, Servers: n, Bytes: p.bytes})
		}
	}
	for _, p := range before {
		if n := p.servers - next[placementKey{p.artifact, p.pool}].servers; n > 0 {
			e.Moves = append(e.Moves, Move{Artifact: p.artifact, Pool: p.pool, Unload: true, Servers: n, Bytes: p.bytes})
		}
	}
}

func poolMemory(p Pool, before, after []placement, fleet Fleet) PoolMemory {
	n, _ := fleet.servers(p)
	m := PoolMemory{Pool: p.Name, Servers: n, Capacity: int64(n) * p.MemoryBytes}
	old := byKey(before)
	for _, b := range before {
		if b.pool == p.Name {
			m.Before += b.bytes * int64(b.servers)
		}
	}
	m.During = m.Before
	for _, a := range after {
		if a.pool != p.Name {
			continue
		}
		m.After += a.bytes * int64(a.servers)
		if added := a.servers - old[placementKey{a.artifact, a.pool}].servers; added > 0 {
			m.During += a.bytes * int64(added)
		}
	}
	return m
}

func (e *Effects) warnf(format string, args ...any) {
	e.Warnings = append(e.Warnings, fmt.Sprintf(format, args...))
}

func (e *Effects) addWarnings(from, to *Configuration, fleet Fleet) {
	for _, m := range e.Memory {
		switch {
		case m.Servers == 0 && m.After > 0:
			e.warnf("pool %q: its memory could not be checked, since no backend server is known or declared", m.Pool)
		case m.Capacity > 0 && m.During > m.Capacity:
			e.warnf("pool %q: old and new versions need %d bytes together, but it has %d: versions are replaced one after another as memory is freed", m.Pool, m.During, m.Capacity)
		}
	}
	e.warnMissingServers(to, fleet)
	e.warnRemoved(from, to)
	if to.Policy.LoadsPerSecond > 0 && to.Policy.ConcurrentLoads == 0 {
		e.warnf("policy.loads_per_second limits no load, since concurrent_loads is 0")
	}
	if r := to.Policy.Retention(); r < shortRetention {
		e.warnf("an action that is repeated under its key after %s runs again, since its outcome is no longer kept", r)
	}
	for _, field := range unusedFields(to) {
		e.warnf("%s is declared, but no decision uses it yet", field)
	}
}

// warnMissingServers warns about pools for which the VM list shows fewer servers
// than declared.
func (e *Effects) warnMissingServers(to *Configuration, fleet Fleet) {
	for _, p := range to.Pools {
		if n := fleet.count(p.Name); fleet != nil && n < p.Servers {
			e.warnf("pool %q declares %d servers, the VM list shows %d", p.Name, p.Servers, n)
		}
	}
}

func (e *Effects) warnRemoved(from, to *Configuration) {
	for _, c := range Diff(from, to) {
		switch {
		case c.Kind == Removed && (c.Section == "models" || c.Section == "adapters"):
			e.warnf("%s %q is no longer served", c.Section[:len(c.Section)-1], c.Name)
		case c.Kind == Removed && c.Section == "teams":
			e.warnf("requests of team %q will be rejected", c.Name)
		case c.Section == "services" && (c.Field == "actions" || c.Field == "idempotent"):
			e.warnf("service %q: the set of non-idempotent calls changes: %s -> %s", c.Name, c.From, c.To)
		}
	}
}

func hasStore(c *Configuration) bool {
	for _, r := range c.Regions {
		if r.Store {
			return true
		}
	}
	return false
}
