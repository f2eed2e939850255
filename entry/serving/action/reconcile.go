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
	scanPageSize = 200              // rows per page
	minOpenAge   = 15 * time.Second // how long a claim stays open before it is settled
	expiryMargin = time.Minute      // allowed clock skew between entries
	roleEntry    = "entry"
	// backupEntries is how many entries scan a shard in addition to its first
	// one, each backupIntervalFactor times less often than the previous one.
	backupEntries        = 2
	backupIntervalFactor = 2
)

// Reconciler settles claims that entries left open and removes expired rows.
// Shards are assigned to entries by rendezvous hashing over the VM list. Because
// the list may still contain a dead entry, the entries with the next lower weights
// for a shard scan it as well, less often. Concurrent scans of a shard are safe: the
// state machine handles conflicting writes.
type Reconciler struct {
	runner  *Runner
	vms     store.VMs
	self    string
	log     logrus.FieldLogger
	changes scan.ChangeTracker // how long open claims have been unchanged
	passes  int                // number of scans started
}

// NewReconciler returns a reconciler for the entry named self.
func NewReconciler(runner *Runner, vms store.VMs, self string, log logrus.FieldLogger) *Reconciler {
	return &Reconciler{runner: runner, vms: vms, self: self, log: log, changes: scan.NewChangeTracker()}
}

// Run scans periodically and settles the open actions of this entry until ctx
// is canceled.
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

// Scan scans the shards of this entry once.
func (r *Reconciler) Scan(ctx context.Context, now time.Time) {
	owned := r.ShardFilter(ctx, r.passes)
	r.passes++
	shard, err := scan.ForEachShard(shardCount, owned, func(shard string) error { return r.scanShard(ctx, shard, now) })
	if err != nil {
		event.Log(r.log, event.SettleFailed, event.Subject(shard), event.Err(err))
		return
	}
	r.changes.DropStale(now)
}

// ShardFilter returns a function that reports whether this entry scans a shard in the
// given pass, according to the current VM list. Passes count from 0.
func (r *Reconciler) ShardFilter(ctx context.Context, pass int) func(shard string) bool {
	entries := r.entries(ctx)
	return func(shard string) bool { return due(rank(r.self, shard, entries), pass) }
}

// due reports whether the entry with this rank scans a shard in this pass.
func due(rank, pass int) bool {
	interval := 1
	for range rank {
		interval *= backupIntervalFactor
	}
	return rank <= backupEntries && pass%interval == 0
}

// rank returns the position of self, from 0, among the entries in descending order
// of their rendezvous weights for the shard.
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

// entries returns the names of the live entries, always including this one.
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

// processRow settles a row that has been open for minOpenAge and removes an
// expired one.
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
	r.changes.Drop(row.Key)
	if rec.State != idempotency.StateUnresolved && now.After(rec.Expires.Add(expiryMargin)) {
		err := r.runner.rows.table.Delete(ctx, row.Key, row.Version)
		if err != nil && !fault.Is(err, fault.KindConflict) {
			event.Log(r.log, event.SettleFailed, event.Subject(row.Key), event.Err(err))
		}
	}
}

func (r *Reconciler) settleOpen(ctx context.Context, row store.Row, rec idempotency.Record, now time.Time) {
	if r.changes.UnchangedFor(row.Key, rec.Token, now) < minOpenAge {
		return
	}
	reply := r.runner.Settle(ctx, rec.Team, rec.Key, settleTimeout)
	if unfinished(reply) {
		return
	}
	r.changes.Drop(row.Key)
	scoped := strings.TrimPrefix(row.Key, actionPrefix)
	event.Log(r.log, event.ActionSettled, event.Subject(scoped), event.Peer(rec.Entry), event.Reason(string(reply.Outcome)))
}
