package replay

import (
	"context"
	"errors"
	"fmt"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
)

// place unloads all artifacts and loads the initial placement. The entries are frozen
// meanwhile, so that no planner issues orders.
func (r *run) place(ctx context.Context) (err error) {
	peers, err := r.newPeers()
	if err != nil {
		return err
	}
	defer peers.close()
	for _, e := range r.cluster.Entries() {
		if err := e.Freeze(); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, e.Resume()) }()
	}
	for _, s := range r.cluster.Sides() {
		if err := cluster.Await(func() error { return r.unloadAll(ctx, peers, s) }); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	for _, kind := range []wire.ArtifactKind{wire.KindModel, wire.KindAdapter} {
		want := r.initialPlacement(kind)
		if err := r.loadAll(ctx, peers, want); err != nil {
			return err
		}
	}
	return nil
}
