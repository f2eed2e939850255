package replay

import (
	"fmt"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/placement"
	"peridotchute.example/routing"
)

const (
	// evenDemand is the demand, in workers, assumed for each model while the real
	// demand is unknown. It is high enough that replicas fill the memory.
	evenDemand = 4.0
	// workerTimePerRequest is the worker time assumed per request.
	workerTimePerRequest = 80 * time.Millisecond
)

// initialPlacement returns the artifacts of a kind to load on each worker before the
// replay.
func (r *run) initialPlacement(kind wire.ArtifactKind) map[string][]wire.Artifact {
	shard := r.emptyShard()
	demand := r.initialDemand()
	weights := placement.DefaultWeights
	weights.Moves = 0.001
	for range 20 {
		moves := placement.Plan(shard, demand, weights, time.Now())
		if len(moves) == 0 {
			break
		}
		applyMoves(&shard, moves)
	}
	out := map[string][]wire.Artifact{}
	for _, w := range shard.Workers {
		for _, a := range w.Residents {
			if a.Kind == kind {
				out[w.Name] = append(out[w.Name], a)
			}
		}
	}
	return out
}

// emptyShard returns the declared artifacts and workers without loaded artifacts.
func (r *run) emptyShard() placement.Shard {
	var shard placement.Shard
	pool := r.deployment.Pool
	bases := map[string]wire.Artifact{}
	for _, m := range r.declared.Models {
		bases[m.Name] = m.Artifact()
		shard.Items = append(shard.Items, placement.Item{Artifact: m.Artifact(), Base: m.Artifact(), Pool: pool, Bytes: m.MemoryBytes})
	}
	for _, a := range r.declared.Adapters {
		shard.Items = append(shard.Items, placement.Item{Artifact: a.Artifact(), Base: bases[a.Model], Pool: pool, Bytes: a.MemoryBytes})
	}
	for i := range r.deployment.Workers {
		zone := r.deployment.Zones[i%len(r.deployment.Zones)]
		shard.Workers = append(shard.Workers, placement.Worker{
			Name: fmt.Sprintf("side-%d", i+1), Zone: zone, Pool: pool, Serving: true,
			MemoryBytes: r.deployment.WorkerBytes, FreeBytes: r.deployment.WorkerBytes,
		})
	}
	return shard
}

// initialDemand returns the demand before the shift for the static policy, and equal
// demands for the models for all others.
func (r *run) initialDemand() []placement.Demand {
	var out []placement.Demand
	if r.policy != routing.Static {
		for _, m := range r.declared.Models {
			out = append(out, placement.Demand{Artifact: m.Artifact(), Rate: evenDemand, Service: time.Second})
		}
		return out
	}
	share := r.deployment.Rate * workerTimePerRequest.Seconds()
	for _, m := range r.declared.Models {
		out = append(out, placement.Demand{Artifact: m.Artifact(), Rate: r.workload.InitialShares[m.Name] * share, Service: time.Second})
	}
	for _, a := range r.declared.Adapters {
		out = append(out, placement.Demand{Artifact: a.Artifact(), Rate: r.workload.InitialShares[a.Name] * share, Service: time.Second})
	}
	return out
}

// applyMoves applies loads and unloads to the workers of a shard.
func applyMoves(shard *placement.Shard, moves []placement.Move) {
	bytes := map[wire.Artifact]int64{}
	for _, it := range shard.Items {
		bytes[it.Artifact] = it.Bytes
	}
	for _, m := range moves {
		for n := range shard.Workers {
			w := &shard.Workers[n]
			if w.Name != m.Worker {
				continue
			}
			if !m.Unload {
				w.Residents = append(w.Residents, m.Artifact)
				w.FreeBytes -= bytes[m.Artifact]
				continue
			}
			var remaining []wire.Artifact
			for _, a := range w.Residents {
				if a != m.Artifact {
					remaining = append(remaining, a)
				}
			}
			w.Residents = remaining
			w.FreeBytes += bytes[m.Artifact]
		}
	}
}
