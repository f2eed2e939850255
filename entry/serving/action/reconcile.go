package action

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/serving/scan"
	"peridotchute.example/idempotency"
	"peridotchute.example/store"
)

const (
	scanInterval = 10 * time.Second
	scanPageSize = 200              // rows a read
	minOpenAge   = 15 * time.Second // how long a claim may stay open before it is looked at
	expiryMargin = time.Minute      // allowed difference of two clocks
	roleEntry    = "entry"
	// backupEntries is how many entries besides its first one look after a shard,
	// each standInTurns times less often than the one before it.
	backupEntries        = 2
	backupIntervalFactor = 2
)

// Reconciler settles the claims that entries left open and removes rows whose
// retention is over. Entries divide the shards by rendezvous hashing over the
// VM list. The list may show an entry that is dead, so the next ones in a
// shard's order scan it too, less often; several may scan a shard at once,
// which the state machine allows.
type Reconciler struct {
	runner    *Runner
	vms       store.VMs
	self      string
	log       logrus.FieldLogger
	sightings scan.Sightings // of open claims
	passes    int            // scans so far
}

// NewReconciler returns a reconciler for the entry named self.
func NewReconciler(runner *Runner, vms store.VMs, self string, log logrus.FieldLogger) *Reconciler {
	return &Reconciler{runner: runner, vms: vms, self: self, log: log, sightings: scan.NewSightings()}
}

// Run scans until ctx ends, and settles what this entry left open itself.
func (r *Reconciler) Run(ctx context.Context) {
	go r.runner.settler.run(ctx)
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.Scan(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

// Scan goes once through the shards of this entry.
func (r *Reconciler) Scan(ctx context.Context, now time.Time) {
	owned := r.Owns(ctx, r.passes)
	r.passes++
	shard, err := scan.Shards(shardCount, owned, func(shard string) error { return r.scanShard(ctx, shard, now) })
	if err != nil {
		event.Log(r.log, event.SettleFailed, event.Subject(shard), event.Err(err))
		return
	}
	r.sightings.Forget(now)
}

// Owns returns which shards this entry scans at a turn, by the VM list as it
// is now. Turns count from 0.
func (r *Reconciler) Owns(ctx context.Context, pass int) func(shard string) bool {
	entries := r.entries(ctx)
	return func(shard string) bool { return due(rank(r.self, shard, entries), pass) }
}

// due reports whether the entry with this rank scans a shard at this turn.
func due(rank, pass int) bool {
	interval := 1
	for range rank {
		interval *= backupIntervalFactor
	}
	return rank <= backupEntries && pass%interval == 0
}

// rank returns how many entries come before self in the order of a shard.
func rank(self, shard string, entries []string) int {
	own := xxhash.Sum64String(shard + "/" + self)
	n := 0
	for _, e := range entries {
		h := xxhash.Sum64String(shard + "/" + e)
		if h > own || h == own && e < self {
			n++
		}
	}
	return n
}

// entries returns the names of the live entries. This entry is always one.
func (r *Reconciler) entries(ctx context.Context) []string {
	names := []string{r.self}
	vms, err := r.vms.List(ctx)
	if err != nil {
		return names
	}
	for _, vm := range vms {
		if vm.Role == roleEntry && vm.State == store.VMLive && vm.Name != r.self {
			names = append(names, vm.Name)
		}
	}
	return names
}

func (r *Reconciler) scanShard(ctx context.Context, shard string, now time.Time) error {
	process := func(row store.Row) { r.processRow(ctx, row, now) }
	if err := store.EachRow(ctx, r.runner.rows.table, actionPrefix+shard+"/", scanPageSize, process); err != nil {
		return storeError("reconcile.list", err)
	}
	return nil
}

// processRow settles, removes or leaves one row.
func (r *Reconciler) processRow(ctx context.Context, row store.Row, now time.Time) {
	rec, err := decode(row)
	if err != nil {
		event.Log(r.log, event.SettleFailed, event.Subject(row.Key), event.Err(err))
		return
	}
	if rec.State == idempotency.StateClaimed {
		r.settleOpen(ctx, row, rec, now)
		return
	}
	r.sightings.Drop(row.Key)
	if rec.State != idempotency.StateUnresolved && now.After(rec.Expires.Add(expiryMargin)) {
		err := r.runner.rows.table.Delete(ctx, row.Key, row.Version)
		if err != nil && !fault.Is(err, fault.KindConflict) {
			event.Log(r.log, event.SettleFailed, event.Subject(row.Key), event.Err(err))
		}
	}
}

func (r *Reconciler) settleOpen(ctx context.Context, row store.Row, rec idempotency.Record, now time.Time) {
	if r.sightings.Unchanged(row.Key, rec.Token, now) < minOpenAge {
		return
	}
	reply := r.runner.Settle(ctx, rec.Team, rec.Key, settleTimeout)
	if unfinished(reply) {
		return
	}
	r.sightings.Drop(row.Key)
	scoped := strings.TrimPrefix(row.Key, actionPrefix)
	event.Log(r.log, event.ActionSettled, event.Subject(scoped), event.Peer(rec.Entry), event.Reason(string(reply.Outcome)))
}
