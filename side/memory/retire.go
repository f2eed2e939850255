package memory

import (
	"context"

	"peridotchute.example/common/wire"
)

// retire marks the artifact and, for a model, its adapters as being unloaded, so
// that new requests for them are rejected. It returns those newly marked.
func (m *Memory) retire(a wire.Artifact) []wire.Artifact {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.Artifact
	for _, allocation := range m.ledger.Allocations() {
		if allocation.Artifact != a && !m.isAdapterOf(allocation.Artifact, a) {
			continue
		}
		if _, already := m.retired[allocation.Artifact]; already {
			continue
		}
		var idle chan struct{}
		if u, ok := m.uses[allocation.Artifact]; ok && u.count > 0 {
			idle = make(chan struct{})
		}
		m.retired[allocation.Artifact] = idle
		out = append(out, allocation.Artifact)
	}
	return out
}

func (m *Memory) isAdapterOf(adapter, model wire.Artifact) bool {
	if adapter.Kind != wire.KindAdapter || model.Kind != wire.KindModel {
		return false
	}
	resolved, ok := m.lookup(adapter.Name)
	return ok && resolved.Base.Name == model.Name
}

// awaitIdle waits until no request uses the retired artifacts. It returns false if
// ctx ends first.
func (m *Memory) awaitIdle(ctx context.Context, artifacts []wire.Artifact) bool {
	for _, a := range artifacts {
		m.mu.Lock()
		idle := m.retired[a]
		m.mu.Unlock()
		if idle == nil {
			continue
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func (m *Memory) unretire(artifacts []wire.Artifact) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range artifacts {
		delete(m.retired, a)
	}
}

func (m *Memory) isRetired(a wire.Artifact) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.retired[a]
	return ok
}
