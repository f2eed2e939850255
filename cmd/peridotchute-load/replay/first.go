package replay

import (
	"fmt"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/placement"
	"peridotchute.example/routing"
)

const (
	// evenUse is the demand, in workers, given to each model when nothing is
	// known of it: enough that replicas fill the memory.
	evenUse = 4.0
	// serviceShare is the worker's time that a request takes.
	serviceShare = 80 * time.Millisecond
)

// firstPlacement returns the artifacts of a kind by worker.
func (r *run) firstPlacement(kind wire.ArtifactKind) map[string][]wire.Artifact {
	cell := r.emptyCell()
	demand := r.firstDemand()
	weights := placement.DefaultWeights
	weights.Moves = 0.001
	for range 20 {
		moves := placement.Plan(cell, demand, weights, time.Now())
		if len(moves) == 0 {
			break
		}
		applyMoves(&cell, moves)
	}
	out := map[string][]wire.Artifact{}
	for _, w := range cell.Workers {
		for _, a := range w.Residents {
			if a.Kind == kind {
				out[w.Name] = append(out[w.Name], a)
			}
		}
	}
	return out
}

func (r *run) emptyCell() placement.Shard {
	var cell placement.Shard
	pool := r.deployment.Pool
	bases := map[string]wire.Artifact{}
	for _, m := range r.declared.Models {
		bases[m.Name] = m.Artifact()
		cell.Items = append(cell.Items, placement.Item{Artifact: m.Artifact(), Base: m.Artifact(), Pool: pool, Bytes: m.MemoryBytes})
	}
	for _, a := range r.declared.Adapters {
		cell.Items = append(cell.Items, placement.Item{Artifact: a.Artifact(), Base: bases[a.Model], Pool: pool, Bytes: a.MemoryBytes})
	}
	for i := range r.deployment.Workers {
		zone := r.deployment.Zones[i%len(r.deployment.Zones)]
		cell.Workers = append(cell.Workers, placement.Worker{
			Name: fmt.Sprintf("side-%d", i+1), Zone: zone, Pool: pool, Serving: true,
			MemoryBytes: r.deployment.WorkerBytes, FreeBytes: r.deployment.WorkerBytes,
		})
	}
	return cell
}

func (r *run) firstDemand() []placement.Demand {
	var out []placement.Demand
	if r.policy != routing.Static {
		for _, m := range r.declared.Models {
			out = append(out, placement.Demand{Artifact: m.Artifact(), Rate: evenUse, Service: time.Second})
		}
		return out
	}
	share := r.deployment.Rate * serviceShare.Seconds()
	for _, m := range r.declared.Models {
		out = append(out, placement.Demand{Artifact: m.Artifact(), Rate: r.workload.Before[m.Name] * share, Service: time.Second})
	}
	for _, a := range r.declared.Adapters {
		out = append(out, placement.Demand{Artifact: a.Artifact(), Rate: r.workload.Before[a.Name] * share, Service: time.Second})
	}
	return out
}

func applyMoves(cell *placement.Shard, moves []placement.Move) {
	bytes := map[wire.Artifact]int64{}
	for _, it := range cell.Items {
		bytes[it.Artifact] = it.Bytes
	}
	for _, m := range moves {
		for n := range cell.Workers {
			w := &cell.Workers[n]
			if w.Name != m.Worker {
				continue
			}
			if !m.Unload {
				w.Residents = append(w.Residents, m.Artifact)
				w.FreeBytes -= bytes[m.Artifact]
				continue
			}
			var kept []wire.Artifact
			for _, a := range w.Residents {
				if a != m.Artifact {
					kept = append(kept, a)
				}
			}
			w.Residents = kept
			w.FreeBytes += bytes[m.Artifact]
		}
	}
}
