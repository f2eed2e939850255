package memory

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/placement"
)

// unload is an unload that the ledger has booked and the engine not yet seen.
type unload struct {
	artifact wire.Artifact
	id       placement.OrderID
	epoch    uint64
}

// candidate is an idle artifact with the adapters that go with it.
type candidate struct {
	artifacts []wire.Artifact // adapters before their base model
	bytes     int64
	last      time.Time
}

// beginEvictionLocked books unloads of idle artifacts, those unused longest
// first, that free at least need bytes. It books none when that is impossible.
func (m *Memory) beginEvictionLocked(need int64) []unload {
	candidates := m.idleLocked()
	var chosen []candidate
	var freed int64
	for _, c := range candidates {
		if freed >= need {
			break
		}
		chosen = append(chosen, c)
		freed += c.bytes
	}
	if freed < need {
		return nil
	}
	for i := 0; i < len(chosen); {
		if freed-chosen[i].bytes < need {
			i++
			continue
		}
		freed -= chosen[i].bytes
		chosen = append(chosen[:i], chosen[i+1:]...)
	}
	var out []unload
	for _, c := range chosen {
		for _, a := range c.artifacts {
			out = append(out, m.bookUnloadLocked(a)...)
		}
	}
	return out
}

func (m *Memory) bookUnloadLocked(a wire.Artifact) []unload {
	id, err := m.ledger.BeginUnload(a, m.epoch)
	if err != nil {
		return nil
	}
	return []unload{{artifact: a, id: id, epoch: m.epoch}}
}

// idleLocked returns what could be unloaded now, unused longest first:
// adapters alone, and models with all of their adapters.
func (m *Memory) idleLocked() []candidate {
	adapters := map[string][]placement.Allocation{} // by name of the base model
	var models []placement.Allocation
	var out []candidate
	for _, p := range m.ledger.Allocations() {
		if p.Artifact.Kind == wire.KindModel {
			models = append(models, p)
			continue
		}
		served, ok := m.lookup(p.Artifact.Name)
		if ok {
			adapters[served.Base.Name] = append(adapters[served.Base.Name], p)
		}
		if m.idle(p) {
			out = append(out, candidate{artifacts: []wire.Artifact{p.Artifact}, bytes: p.Bytes, last: m.lastUse(p.Artifact)})
		}
	}
	for _, p := range models {
		if c, ok := m.wholeModel(p, adapters[p.Artifact.Name]); ok {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].last.Before(out[j].last) })
	return out
}

// wholeModel returns the candidate of a model with its adapters, when all of
// them are idle. Its bytes are the model's own, since each adapter is a
// candidate before it.
func (m *Memory) wholeModel(model placement.Allocation, adapters []placement.Allocation) (candidate, bool) {
	if !m.idle(model) {
		return candidate{}, false
	}
	c := candidate{bytes: model.Bytes, last: m.lastUse(model.Artifact)}
	for _, a := range adapters {
		if !m.idle(a) {
			return candidate{}, false
		}
		c.artifacts = append(c.artifacts, a.Artifact)
		c.last = later(c.last, m.lastUse(a.Artifact))
	}
	c.artifacts = append(c.artifacts, model.Artifact)
	return c, true
}

func (m *Memory) idle(a placement.Allocation) bool {
	if !a.Usable || !a.Settled {
		return false
	}
	u, ok := m.uses[a.Artifact]
	return !ok || u.count == 0
}

func (m *Memory) lastUse(a wire.Artifact) time.Time {
	if u, ok := m.uses[a]; ok {
		return u.last
	}
	return time.Time{}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// digest names a set of residents, whatever their order.
func digest(residents []engine.Resident) uint64 {
	var sum uint64
	for _, r := range residents {
		sum += xxhash.Sum64String(r.Artifact.String())
	}
	return sum
}
