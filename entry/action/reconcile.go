package action

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/idempotency"
	"peridotchute.example/platform"
)

const (
	scanInterval = 10 * time.Second
	scanPage     = 200              // rows a read
	openAge      = 15 * time.Second // how long a claim may stay open before it is looked at
	expiryMargin = time.Minute      // allowed difference of two clocks
	roleEntry    = "entry"
)

// Reconciler settles the claims that entries left open and removes rows whose
// retention is over. Each entry scans its own shards, by rendezvous hashing
// over the entries in the VM list; two entries that see different lists may
// both scan a shard, which the state machine allows.
type Reconciler struct {
	runner *Runner
	vms    platform.VMs
	self   string
	log    logrus.FieldLogger
	seen   map[string]sighting // open claims by row key
}

// sighting is an open claim and when this entry first saw it, by its own clock.
type sighting struct {
	token string
	since time.Time
	last  time.Time // start of the last scan that met it
}

// NewReconciler returns a reconciler for the entry named self.
func NewReconciler(runner *Runner, vms platform.VMs, self string, log logrus.FieldLogger) *Reconciler {
	return &Reconciler{runner: runner, vms: vms, self: self, log: log, seen: map[string]sighting{}}
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
	owns := r.Owns(ctx)
	for shard := range shardCount {
		name := fmt.Sprintf("%02x", shard)
		if !owns(name) {
			continue
		}
		if err := r.scanShard(ctx, name, now); err != nil {
			event.Log(r.log, event.SettleFailed, event.Subject(name), event.Err(err))
			return
		}
	}
	for key, s := range r.seen {
		if s.last.Before(now) {
			delete(r.seen, key)
		}
	}
}

// Owns returns which shards this entry scans, by the VM list as it is now.
func (r *Reconciler) Owns(ctx context.Context) func(shard string) bool {
	entries := r.entries(ctx)
	return func(shard string) bool { return owner(shard, entries) == r.self }
}

// entries returns the names of the live entries. This entry is always one.
func (r *Reconciler) entries(ctx context.Context) []string {
	names := []string{r.self}
	vms, err := r.vms.List(ctx)
	if err != nil {
		return names
	}
	for _, vm := range vms {
		if vm.Role == roleEntry && vm.State == platform.VMLive && vm.Name != r.self {
			names = append(names, vm.Name)
		}
	}
	return names
}

// owner returns the entry with the highest hash for the shard.
func owner(shard string, entries []string) string {
	best, highest := "", uint64(0)
	for _, e := range entries {
		if h := xxhash.Sum64String(shard + "/" + e); best == "" || h > highest {
			best, highest = e, h
		}
	}
	return best
}

func (r *Reconciler) scanShard(ctx context.Context, shard string, now time.Time) error {
	prefix := actionPrefix + shard + "/"
	after := ""
	for {
		page, err := r.runner.rows.table.List(ctx, prefix, after, scanPage)
		if err != nil {
			return errStore("reconcile.list", err)
		}
		for _, row := range page {
			r.look(ctx, row, now)
			after = row.Key
		}
		if len(page) < scanPage {
			return nil
		}
	}
}

// look settles, removes or leaves one row.
func (r *Reconciler) look(ctx context.Context, row platform.Row, now time.Time) {
	rec, err := decode(row)
	if err != nil {
		event.Log(r.log, event.SettleFailed, event.Subject(row.Key), event.Err(err))
		return
	}
	if rec.State == idempotency.StateClaimed {
		r.lookOpen(ctx, row, rec, now)
		return
	}
	delete(r.seen, row.Key)
	if rec.State != idempotency.StateUnresolved && now.After(rec.Expires.Add(expiryMargin)) {
		err := r.runner.rows.table.Delete(ctx, row.Key, row.Version)
		if err != nil && !fault.Is(err, fault.KindConflict) {
			event.Log(r.log, event.SettleFailed, event.Subject(row.Key), event.Err(err))
		}
	}
}

func (r *Reconciler) lookOpen(ctx context.Context, row platform.Row, rec idempotency.Record, now time.Time) {
	s, ok := r.seen[row.Key]
	if !ok || s.token != rec.Token {
		s = sighting{token: rec.Token, since: now}
	}
	s.last = now
	r.seen[row.Key] = s
	if now.Sub(s.since) < openAge {
		return
	}
	reply := r.runner.Settle(ctx, rec.Team, rec.Key, settlePass)
	if unfinished(reply) {
		return
	}
	delete(r.seen, row.Key)
	scoped := strings.TrimPrefix(row.Key, actionPrefix)
	event.Log(r.log, event.ActionSettled, event.Subject(scoped), event.Peer(rec.Entry), event.Reason(string(reply.Outcome)))
}
