package replay

import (
	"context"
	"errors"
	"fmt"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
)

// place loads the first placement. The static policy knows the demand before
// the shift; every other policy begins with equal shares. The entries are
// frozen meanwhile, so that no planner gives orders of its own.
func (r *run) place(ctx context.Context) (err error) {
	peers, err := r.dial()
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
		if err := cluster.Await(func() error { return r.empty(ctx, peers, s) }); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	for _, kind := range []wire.ArtifactKind{wire.KindModel, wire.KindAdapter} {
		want := r.firstPlacement(kind)
		if err := r.order(ctx, peers, want); err != nil {
			return err
		}
	}
	return nil
}
