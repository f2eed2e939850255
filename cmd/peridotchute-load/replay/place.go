package replay

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/placement"
	"peridotchute.example/routing"
	"peridotchute.example/rpc"
)

const (
	initialCell = "initial"
	orderTTL    = time.Minute
	// evenUse is the demand, in workers, given to each model when nothing is
	// known of it: enough that replicas fill the memory.
	evenUse = 4.0
)

// place loads the first placement. The static policy knows the demand before
// the shift; every other policy begins with equal shares.
func (r *run) place(ctx context.Context) error {
	peers, err := r.dial(ctx)
	defer func() {
		for _, p := range peers {
			_ = p.Close()
		}
	}()
	if err != nil {
		return err
	}
	for _, kind := range []wire.ArtifactKind{wire.KindModel, wire.KindAdapter} {
		want := r.firstPlacement(kind)
		if err := r.order(ctx, peers, want); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) dial(ctx context.Context) ([]*rpc.Peer, error) {
	key, err := os.ReadFile(r.cluster.Side(1).Settings.DeploymentKeyFile)
	if err != nil {
		return nil, err
	}
	local := rpc.Local{
		Identity: rpc.Identity{Name: "replay", Incarnation: "replay", Role: "replay"},
		Key:      strings.TrimSpace(string(key)),
	}
	handlers := rpc.NewHandlers()
	rpc.Handle(handlers, rpc.MethodOffer, func(_ context.Context, _ *rpc.Peer, o rpc.Offer) (rpc.OfferReply, error) {
		return rpc.OfferReply(o), nil
	})
	var peers []*rpc.Peer
	for _, s := range r.cluster.Sides() {
		p, err := rpc.Dial(ctx, s.Settings.RPCAddress, local, handlers)
		if err != nil {
			return peers, err
		}
		peers = append(peers, p)
	}
	return peers, nil
}

// order has each side process load its artifacts and waits until it holds them.
func (r *run) order(ctx context.Context, peers []*rpc.Peer, want map[string][]wire.Artifact) error {
	for i, s := range r.cluster.Sides() {
		for _, a := range want[s.Name] {
			if err := r.orderOne(ctx, peers[i], a); err != nil {
				return err
			}
		}
	}
	for i, s := range r.cluster.Sides() {
		if err := cluster.Await(func() error { return holds(ctx, peers[i], want[s.Name]) }); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

// orderOne gives the order until it is taken; a side process refuses loads
// until it knows its engine and the configuration.
func (r *run) orderOne(ctx context.Context, p *rpc.Peer, a wire.Artifact) error {
	return cluster.Await(func() error {
		inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, p, rpc.MethodInventory, rpc.InventoryQuery{})
		if err != nil || inv.FreeBytes == 0 || inv.ConfigVersion == 0 {
			return errors.Join(err, errors.New("side process is not ready for orders"))
		}
		r.sequence++
		reply, err := rpc.Call[rpc.Order, rpc.OrderReply](ctx, p, rpc.MethodOrder, rpc.Order{
			Cell: initialCell, Term: 1, Sequence: r.sequence, TTL: orderTTL, Kind: engine.VerbLoad, Artifact: a,
		})
		if err == nil && !reply.Accepted {
			err = errors.New(reply.Reason)
		}
		return err
	})
}

func holds(ctx context.Context, p *rpc.Peer, want []wire.Artifact) error {
	inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, p, rpc.MethodInventory, rpc.InventoryQuery{})
	if err != nil {
		return err
	}
	held := map[wire.Artifact]bool{}
	for _, r := range inv.Residents {
		held[r.Artifact] = true
	}
	for _, a := range want {
		if !held[a] {
			return fmt.Errorf("%s is not resident yet", a)
		}
	}
	return nil
}

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

func (r *run) emptyCell() placement.Cell {
	var cell placement.Cell
	pool := r.deployment.Pool
	bases := map[string]wire.Artifact{}
	for _, m := range r.declared.Models {
		bases[m.Name] = m.Artifact()
		cell.Items = append(cell.Items, placement.Item{Artifact: m.Artifact(), Base: m.Artifact(), Pool: pool, Bytes: m.MemoryBytes})
	}
	for _, a := range r.declared.Adapters {
		cell.Items = append(cell.Items, placement.Item{Artifact: a.Artifact(), Base: bases[a.Model], Pool: pool, Bytes: a.MemoryBytes})
	}
	for _, s := range r.cluster.Sides() {
		cell.Workers = append(cell.Workers, placement.Worker{
			Name: s.Name, Zone: s.Settings.Zone, Pool: pool, Serving: true,
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

// serviceShare is the worker's time that a request takes.
const serviceShare = 80 * time.Millisecond

func applyMoves(cell *placement.Cell, moves []placement.Move) {
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
