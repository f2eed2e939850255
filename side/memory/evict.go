package memory

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/placement"
)

// pendingUnload is an unload that is recorded in the ledger and not yet sent to the
// engine.
type pendingUnload struct {
	artifact    wire.Artifact
	id          placement.OrderID
	engineToken uint64
}

// candidate is an idle artifact that can be unloaded; a model includes its adapters.
type candidate struct {
	artifacts []wire.Artifact // adapters before their base model
	bytes     int64
	last      time.Time
}

// beginEvictionLocked records unloads of idle artifacts in the ledger, least
// recently used first, that free at least need bytes. If that is impossible, it
// records none and returns nil.
func (m *Memory) beginEvictionLocked(need int64) []pendingUnload {
	candidates := m.evictionCandidatesLocked()
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
	var out []pendingUnload
	for _, c := range chosen {
		for _, a := range c.artifacts {
			out = append(out, m.beginUnloadLocked(a)...)
		}
	}
	return out
}

func (m *Memory) beginUnloadLocked(a wire.Artifact) []pendingUnload {
	id, err := m.ledger.BeginUnload(a, m.engineToken)
	if err != nil {
		return nil
	}
	return []pendingUnload{{artifact: a, id: id, engineToken: m.engineToken}}
}

// evictionCandidatesLocked returns the artifacts that can be unloaded now, least
// recently used first: single adapters, and models with all of their adapters.
func (m *Memory) evictionCandidatesLocked() []candidate {
	adapters := map[string][]placement.Allocation{} // by name of the base model
	var models []placement.Allocation
	var out []candidate
	for _, allocation := range m.ledger.Allocations() {
		if allocation.Artifact.Kind == wire.KindModel {
			models = append(models, allocation)
			continue
		}
		resolved, ok := m.lookup(allocation.Artifact.Name)
		if ok {
			adapters[resolved.Base.Name] = append(adapters[resolved.Base.Name], allocation)
		}
		if m.isIdle(allocation) {
			out = append(out, candidate{artifacts: []wire.Artifact{allocation.Artifact}, bytes: allocation.Bytes, last: m.lastUse(allocation.Artifact)})
		}
	}
	for _, allocation := range models {
		if c, ok := m.modelCandidate(allocation, adapters[allocation.Artifact.Name]); ok {
			out = append(out, c)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].last.Before(out[j].last) })
	return out
}

// modelCandidate returns a candidate that unloads a model and all its adapters, or
// false if one of them is in use. Its bytes are those of the model only, because
// each adapter is also a candidate of its own.
func (m *Memory) modelCandidate(model placement.Allocation, adapters []placement.Allocation) (candidate, bool) {
	if !m.isIdle(model) {
		return candidate{}, false
	}
	c := candidate{bytes: model.Bytes, last: m.lastUse(model.Artifact)}
	for _, a := range adapters {
		if !m.isIdle(a) {
			return candidate{}, false
		}
		c.artifacts = append(c.artifacts, a.Artifact)
		c.last = latest(c.last, m.lastUse(a.Artifact))
	}
	c.artifacts = append(c.artifacts, model.Artifact)
	return c, true
}

func (m *Memory) isIdle(a placement.Allocation) bool {
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

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// digest returns a hash of the set of residents, independent of their order.
func digest(residents []engine.Resident) uint64 {
	var sum uint64
	for _, r := range residents {
		sum += xxhash.Sum64String(r.Artifact.String())
	}
	return sum
}
