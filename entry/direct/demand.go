package direct

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/placement/residence"
)

// demandEvery is how often the entry that gives the orders hears of the
// demand: well within the time of a load.
const demandEvery = 250 * time.Millisecond

// tenure is one holder's time with the orders lease.
type tenure struct {
	holder string
	term   int64
}

// teller tells the entry that gives the orders what was asked for here.
type teller struct {
	c       *coordination
	history *residence.History
	told    tenure // that knows the history
}

// tellDemand tells the demand until ctx ends.
func (c *coordination) tellDemand(ctx context.Context) {
	t := &teller{c: c, history: residence.NewHistory()}
	for clock.Sleep(ctx, demandEvery) == nil {
		t.tell(ctx, c.balancer.TakeDemand())
	}
}

func (t *teller) tell(ctx context.Context, demand []residence.ModelDemand) {
	var now tenure
	now.holder, now.term = t.c.keeper.Lease()
	if now.holder != "" && now != t.told && t.tellPast(ctx, now.holder) {
		t.told = now
	}
	t.history.Add(demand, orders.Boottime())
	if len(demand) == 0 || now.holder == "" {
		return
	}
	if now.holder == t.c.name {
		t.c.keeper.Demand(t.c.name, demand)
		return
	}
	_, err := mesh.Call[[]residence.ModelDemand, struct{}](ctx, t.c.mesh, now.holder, methodDemand, demand)
	t.logUntold(ctx, now.holder, err)
}

// tellPast tells a new holder what was seen before, and reports whether it did.
func (t *teller) tellPast(ctx context.Context, holder string) bool {
	note := t.history.Note(orders.Boottime())
	var err error
	if holder == t.c.name {
		err = t.c.keeper.Backfill(note)
	} else {
		_, err = mesh.Call[residence.PastNote, struct{}](ctx, t.c.mesh, holder, methodPast, note)
	}
	t.logUntold(ctx, holder, err)
	return err == nil
}

func (t *teller) logUntold(ctx context.Context, holder string, err error) {
	if err != nil && ctx.Err() == nil {
		event.Log(t.c.log, event.DemandNotTold, event.Peer(holder), event.Err(err))
	}
}
