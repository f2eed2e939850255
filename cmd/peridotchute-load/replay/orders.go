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
	"peridotchute.example/rpc"
)

const (
	initialShard = "initial"
	orderTTL     = time.Minute
)

// peers holds the control connections to the side processes, opened on demand.
type peers struct {
	local       rpc.Local
	handlers    *rpc.Handlers
	connections map[string]*rpc.Peer // by address
}

// connect returns the open connection to a side process or opens one.
func (p *peers) connect(ctx context.Context, s *cluster.Side) (*rpc.Peer, error) {
	address := s.Settings.RPCAddress
	if peer, ok := p.connections[address]; ok {
		select {
		case <-peer.Done():
		default:
			return peer, nil
		}
	}
	peer, err := rpc.Dial(ctx, address, p.local, p.handlers)
	if err == nil {
		p.connections[address] = peer
	}
	return peer, err
}

func (p *peers) close() {
	for _, peer := range p.connections {
		_ = peer.Close()
	}
}

// newPeers returns peers that authenticate with the deployment key of the cluster.
func (r *run) newPeers() (*peers, error) {
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
	return &peers{local: local, handlers: handlers, connections: map[string]*rpc.Peer{}}, nil
}

// unloadAll orders a side process to unload its models. It returns an error until the
// side process has nothing loaded.
func (r *run) unloadAll(ctx context.Context, peers *peers, s *cluster.Side) error {
	p, err := peers.connect(ctx, s)
	if err != nil {
		return err
	}
	inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, p, rpc.MethodInventory, rpc.InventoryQuery{})
	if err != nil || len(inv.Residents)+len(inv.Pending) == 0 {
		return err
	}
	for _, resident := range inv.Residents {
		if resident.Artifact.Kind == wire.KindModel {
			_ = r.issue(ctx, p, engine.VerbUnload, resident.Artifact)
		}
	}
	return fmt.Errorf("%d artifacts are resident before the initial placement", len(inv.Residents)+len(inv.Pending))
}

// issue issues one order and returns an error if it is declined.
func (r *run) issue(ctx context.Context, p *rpc.Peer, kind rpc.OrderKind, a wire.Artifact) error {
	r.sequence++
	reply, err := rpc.Call[rpc.Order, rpc.OrderReply](ctx, p, rpc.MethodOrder, rpc.Order{
		Cell: initialShard, Term: 1, Sequence: r.sequence, TTL: orderTTL, Kind: kind, Artifact: a,
	})
	if err == nil && !reply.Accepted {
		err = errors.New(reply.Reason)
	}
	return err
}

// loadAll orders each side process to load its artifacts and waits until all are loaded.
func (r *run) loadAll(ctx context.Context, peers *peers, want map[string][]wire.Artifact) error {
	for _, s := range r.cluster.Sides() {
		for _, a := range want[s.Name] {
			if err := r.loadOne(ctx, peers, s, a); err != nil {
				return err
			}
		}
	}
	for _, s := range r.cluster.Sides() {
		if err := cluster.Await(func() error { return hasLoaded(ctx, peers, s, want[s.Name]) }); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

// loadOne issues a load order until it is accepted: a side process declines loads until
// it has received its engine's inventory and the configuration.
func (r *run) loadOne(ctx context.Context, peers *peers, s *cluster.Side, a wire.Artifact) error {
	return cluster.Await(func() error {
		p, err := peers.connect(ctx, s)
		if err != nil {
			return err
		}
		inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, p, rpc.MethodInventory, rpc.InventoryQuery{})
		if err != nil || inv.FreeBytes == 0 || inv.ConfigVersion == 0 {
			return errors.Join(err, errors.New("side process is not ready for orders"))
		}
		return r.issue(ctx, p, engine.VerbLoad, a)
	})
}

// hasLoaded returns an error if a side process has not loaded all of want.
func hasLoaded(ctx context.Context, peers *peers, s *cluster.Side, want []wire.Artifact) error {
	p, err := peers.connect(ctx, s)
	if err != nil {
		return err
	}
	inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, p, rpc.MethodInventory, rpc.InventoryQuery{})
	if err != nil {
		return err
	}
	loaded := map[wire.Artifact]bool{}
	for _, r := range inv.Residents {
		loaded[r.Artifact] = true
	}
	for _, a := range want {
		if !loaded[a] {
			return fmt.Errorf("%s is not resident yet", a)
		}
	}
	return nil
}
