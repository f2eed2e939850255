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

// demandInterval is how often the entry that gives the orders hears of the
// demand: well within the time of a load.
const demandInterval = 250 * time.Millisecond

// leaseTenure is one holder's time with the orders lease.
type leaseTenure struct {
	holder string
	token  int64
}

// demandReporter tells the entry that gives the orders what was asked for here.
type demandReporter struct {
	c          *coordination
	history    *residence.History
	backfilled leaseTenure // that knows the history
}

// reportDemand tells the demand until ctx ends.
func (c *coordination) reportDemand(ctx context.Context) {
	t := &demandReporter{c: c, history: residence.NewHistory()}
	for clock.Sleep(ctx, demandInterval) == nil {
		t.report(ctx, c.balancer.TakeDemand())
	}
}

func (t *demandReporter) report(ctx context.Context, demand []residence.ModelDemand) {
	var now leaseTenure
	now.holder, now.token = t.c.manager.Lease()
	if now.holder != "" && now != t.backfilled && t.backfill(ctx, now.holder) {
		t.backfilled = now
	}
	t.history.Add(demand, orders.Boottime())
	if len(demand) == 0 || now.holder == "" {
		return
	}
	if now.holder == t.c.name {
		t.c.manager.Demand(t.c.name, demand)
		return
	}
	_, err := mesh.Call[[]residence.ModelDemand, struct{}](ctx, t.c.mesh, now.holder, methodDemand, demand)
	t.logFailure(ctx, now.holder, err)
}

// backfill tells a new holder what was seen before, and reports whether it did.
func (t *demandReporter) backfill(ctx context.Context, holder string) bool {
	note := t.history.Note(orders.Boottime())
	var err error
	if holder == t.c.name {
		err = t.c.manager.Backfill(note)
	} else {
		_, err = mesh.Call[residence.PastNote, struct{}](ctx, t.c.mesh, holder, methodBackfill, note)
	}
	t.logFailure(ctx, holder, err)
	return err == nil
}

func (t *demandReporter) logFailure(ctx context.Context, holder string, err error) {
	if err != nil && ctx.Err() == nil {
		event.Log(t.c.log, event.DemandNotTold, event.Peer(holder), event.Err(err))
	}
}
