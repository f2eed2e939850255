package memory

import (
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/rpc"
)

// assumedBatch is the minimum number of concurrent requests assumed when the share
// of the engine used by a request is estimated from its duration. With fewer
// requests, the duration does not show what a request costs the others.
const assumedBatch = 8

// artifactUsage counts the requests for one artifact since the process started.
type artifactUsage struct {
	requests uint64
	busy     time.Duration // time of the engine that the requests used, estimated
}

// beginRequest counts a request for the artifact. The returned function ends it and
// adds its share of the engine's time.
func (m *Memory) beginRequest(a wire.Artifact) (end func()) {
	began := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageOf(a).requests++
	m.activeRequests++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		share := time.Since(began) / time.Duration(max(m.activeRequests, assumedBatch))
		m.usageOf(a).busy += share
		m.activeRequests--
	}
}

func (m *Memory) usageOf(a wire.Artifact) *artifactUsage {
	usage, ok := m.demand[a]
	if !ok {
		usage = &artifactUsage{}
		m.demand[a] = usage
	}
	return usage
}

// Demand returns the request counters of each artifact since the process started.
func (m *Memory) Demand() []rpc.Demand {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]rpc.Demand, 0, len(m.demand))
	for a, usage := range m.demand {
		out = append(out, rpc.Demand{Artifact: a, Requests: usage.requests, Busy: usage.busy})
	}
	return out
}
