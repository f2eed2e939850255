package memory

import (
	"context"

	"peridotchute.example/common/wire"
)

// retire keeps new requests from an artifact and, with a model, from its
// adapters, and returns those that are retired by this call.
func (m *Memory) retire(a wire.Artifact) []wire.Artifact {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []wire.Artifact
	for _, p := range m.ledger.Allocations() {
		if p.Artifact != a && !m.basedOn(p.Artifact, a) {
			continue
		}
		if _, already := m.retired[p.Artifact]; already {
			continue
		}
		var idle chan struct{}
		if u, ok := m.uses[p.Artifact]; ok && u.count > 0 {
			idle = make(chan struct{})
		}
		m.retired[p.Artifact] = idle
		out = append(out, p.Artifact)
	}
	return out
}

func (m *Memory) basedOn(adapter, model wire.Artifact) bool {
	if adapter.Kind != wire.KindAdapter || model.Kind != wire.KindModel {
		return false
	}
	served, ok := m.lookup(adapter.Name)
	return ok && served.Base.Name == model.Name
}

// awaitIdle reports whether no request holds the artifacts any more before ctx
// ends.
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
	_, leaving := m.retired[a]
	return leaving
}
