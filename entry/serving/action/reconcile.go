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
	"peridotchute.example/store"
)

const (
	scanInterval = 10 * time.Second
	scanPage     = 200              // rows a read
	openAge      = 15 * time.Second // how long a claim may stay open before it is looked at
	expiryMargin = time.Minute      // allowed difference of two clocks
	roleEntry    = "entry"
	// standIns is how many entries besides its first one look after a shard,
	// each standInTurns times less often than the one before it.
	standIns     = 2
	standInTurns = 2
	forgetAfter  = 10 * time.Minute // an open claim that no scan meets any more
)

// Reconciler settles the claims that entries left open and removes rows whose
// retention is over. Entries divide the shards by rendezvous hashing over the
// VM list. The list may show an entry that is dead, so the next ones in a
// shard's order scan it too, less often; several may scan a shard at once,
// which the state machine allows.
type Reconciler struct {
	runner *Runner
	vms    store.VMs
	self   string
	log    logrus.FieldLogger
	seen   map[string]sighting // open claims by row key
	turn   int                 // scans so far
}

// sighting is an open claim and when this entry first saw it, by its own clock.
type sighting struct {
	token string
	since time.Time
	last  time.Time // start of the last scan that met it
}

// NewReconciler returns a reconciler for the entry named self.
func NewReconciler(runner *Runner, vms store.VMs, self string, log logrus.FieldLogger) *Reconciler {
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
	owns := r.Owns(ctx, r.turn)
	r.turn++
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
		if now.Sub(s.last) > forgetAfter {
			delete(r.seen, key)
		}
	}
}

// Owns returns which shards this entry scans at a turn, by the VM list as it
// is now. Turns count from 0.
func (r *Reconciler) Owns(ctx context.Context, turn int) func(shard string) bool {
	entries := r.entries(ctx)
	return func(shard string) bool { return due(rank(r.self, shard, entries), turn) }
}

// due reports whether the entry with this rank scans a shard at this turn.
func due(rank, turn int) bool {
	every := 1
	for range rank {
		every *= standInTurns
	}
	return rank <= standIns && turn%every == 0
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
func (r *Reconciler) look(ctx context.Context, row store.Row, now time.Time) {
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

func (r *Reconciler) lookOpen(ctx context.Context, row store.Row, rec idempotency.Record, now time.Time) {
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
