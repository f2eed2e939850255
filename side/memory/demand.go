package memory

import (
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/rpc"
)

// assumedBatch is how many requests an engine runs at once at least before the
// time that one of them takes says what it costs the others.
const assumedBatch = 8

// asked is what was asked of one artifact since the process started.
type asked struct {
	requests uint64
	busy     time.Duration // share of the engine that the requests took
}

// begin counts a request for the artifact; end counts its share of the engine.
func (m *Memory) begin(a wire.Artifact) (end func()) {
	began := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entryOf(a).requests++
	m.active++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		share := time.Since(began) / time.Duration(max(m.active, assumedBatch))
		m.entryOf(a).busy += share
		m.active--
	}
}

func (m *Memory) entryOf(a wire.Artifact) *asked {
	d, ok := m.demand[a]
	if !ok {
		d = &asked{}
		m.demand[a] = d
	}
	return d
}

// Demand returns what was asked of each artifact since the process started.
func (m *Memory) Demand() []rpc.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]rpc.Demand, 0, len(m.demand))
	for a, d := range m.demand {
		out = append(out, rpc.Demand{Artifact: a, Requests: d.requests, Busy: d.busy})
	}
	return out
}
