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
	initialCell = "initial"
	orderTTL    = time.Minute
)

// peers are the control connections to the side processes, opened when needed.
type peers struct {
	local    rpc.Local
	handlers *rpc.Handlers
	open     map[string]*rpc.Peer // by address
}

// to returns a connection to the side process, a new one when the last has ended.
func (p *peers) to(ctx context.Context, s *cluster.Side) (*rpc.Peer, error) {
	address := s.Settings.RPCAddress
	if peer, ok := p.open[address]; ok {
		select {
		case <-peer.Done():
		default:
			return peer, nil
		}
	}
	peer, err := rpc.Dial(ctx, address, p.local, p.handlers)
	if err == nil {
		p.open[address] = peer
	}
	return peer, err
}

func (p *peers) close() {
	for _, peer := range p.open {
		_ = peer.Close()
	}
}

func (r *run) dial() (*peers, error) {
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
	return &peers{local: local, handlers: handlers, open: map[string]*rpc.Peer{}}, nil
}

// empty orders the unload of what a side process holds, and returns nil when
// that is nothing.
func (r *run) empty(ctx context.Context, peers *peers, s *cluster.Side) error {
	p, err := peers.to(ctx, s)
	if err != nil {
		return err
	}
	inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, p, rpc.MethodInventory, rpc.InventoryQuery{})
	if err != nil || len(inv.Residents)+len(inv.Pending) == 0 {
		return err
	}
	for _, resident := range inv.Residents {
		if resident.Artifact.Kind == wire.KindModel {
			_ = r.give(ctx, p, engine.VerbUnload, resident.Artifact)
		}
	}
	return fmt.Errorf("%d artifacts are resident before the first placement", len(inv.Residents)+len(inv.Pending))
}

// give gives one order. A refusal is an error.
func (r *run) give(ctx context.Context, p *rpc.Peer, kind rpc.OrderKind, a wire.Artifact) error {
	r.sequence++
	reply, err := rpc.Call[rpc.Order, rpc.OrderReply](ctx, p, rpc.MethodOrder, rpc.Order{
		Cell: initialCell, Term: 1, Sequence: r.sequence, TTL: orderTTL, Kind: kind, Artifact: a,
	})
	if err == nil && !reply.Accepted {
		err = errors.New(reply.Reason)
	}
	return err
}

// order has each side process load its artifacts and waits until it holds them.
func (r *run) order(ctx context.Context, peers *peers, want map[string][]wire.Artifact) error {
	for _, s := range r.cluster.Sides() {
		for _, a := range want[s.Name] {
			if err := r.orderOne(ctx, peers, s, a); err != nil {
				return err
			}
		}
	}
	for _, s := range r.cluster.Sides() {
		if err := cluster.Await(func() error { return holds(ctx, peers, s, want[s.Name]) }); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}

// orderOne gives the order until it is taken; a side process refuses loads
// until it knows its engine and the configuration.
func (r *run) orderOne(ctx context.Context, peers *peers, s *cluster.Side, a wire.Artifact) error {
	return cluster.Await(func() error {
		p, err := peers.to(ctx, s)
		if err != nil {
			return err
		}
		inv, err := rpc.Call[rpc.InventoryQuery, rpc.InventoryReply](ctx, p, rpc.MethodInventory, rpc.InventoryQuery{})
		if err != nil || inv.FreeBytes == 0 || inv.ConfigVersion == 0 {
			return errors.Join(err, errors.New("side process is not ready for orders"))
		}
		return r.give(ctx, p, engine.VerbLoad, a)
	})
}

func holds(ctx context.Context, peers *peers, s *cluster.Side, want []wire.Artifact) error {
	p, err := peers.to(ctx, s)
	if err != nil {
		return err
	}
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
