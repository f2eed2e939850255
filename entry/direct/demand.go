package direct

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/placement/loadplan"
)

const (
	// minDemandInterval is how often demand is reported to the lease holder: well within
	// the time of a load.
	minDemandInterval = 250 * time.Millisecond
	// maxDemandReports bounds the reports that the lease holder gets from all entries, in
	// reports per second.
	maxDemandReports = 400
)

// demandInterval returns the interval of this entry's reports, given the number of other
// entries.
func demandInterval(peers int) time.Duration {
	return max(minDemandInterval, time.Duration(peers)*time.Second/maxDemandReports)
}

// leaseTenure identifies one period during which an entry holds the orders lease.
type leaseTenure struct {
	holder string
	token  int64
}

// demandReporter reports the demand seen by this entry to the lease holder.
type demandReporter struct {
	c          *coordination
	history    *loadplan.History
	backfilled leaseTenure // tenure whose lease holder has received the history
}

// reportDemand reports demand to the lease holder until ctx ends.
func (c *coordination) reportDemand(ctx context.Context) {
	r := &demandReporter{c: c, history: loadplan.NewHistory()}
	for clock.Sleep(ctx, demandInterval(c.mesh.ConnectedCount())) == nil {
		r.report(ctx, c.balancer.TakeDemand())
	}
}

func (r *demandReporter) report(ctx context.Context, demand []loadplan.ModelDemand) {
	var current leaseTenure
	current.holder, current.token = r.c.manager.Lease()
	if current.holder != "" && current != r.backfilled && r.backfill(ctx, current.holder) {
		r.backfilled = current
	}
	r.history.Add(demand, clock.Boottime())
	if len(demand) == 0 || current.holder == "" {
		return
	}
	if current.holder == r.c.name {
		r.c.manager.ObserveDemand(r.c.name, demand)
		return
	}
	_, err := mesh.Call[[]loadplan.ModelDemand, struct{}](ctx, r.c.mesh, current.holder, methodDemand, demand)
	r.logFailure(ctx, current.holder, err)
}

// backfill sends the demand history to a new lease holder and reports whether it
// succeeded.
func (r *demandReporter) backfill(ctx context.Context, holder string) bool {
	snapshot := r.history.Snapshot(clock.Boottime())
	var err error
	if holder == r.c.name {
		err = r.c.manager.Backfill(snapshot)
	} else {
		_, err = mesh.Call[loadplan.HistorySnapshot, struct{}](ctx, r.c.mesh, holder, methodBackfill, snapshot)
	}
	r.logFailure(ctx, holder, err)
	return err == nil
}

func (r *demandReporter) logFailure(ctx context.Context, holder string, err error) {
	if err != nil && ctx.Err() == nil {
		event.Log(r.c.log, event.DemandNotDelivered, event.Peer(holder), event.Err(err))
	}
}
