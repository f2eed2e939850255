package job

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/store"
)

// sighting is a job's row and since when this entry has seen it unchanged, by
// its own clock.
type sighting struct {
	version string
	since   time.Time
	last    time.Time // start of the last scan that met it
}

// forgetAfter is when a job that no scan meets any more is forgotten.
const forgetAfter = 10 * time.Minute

// scanner finds the jobs that nobody runs.
type scanner struct {
	server *Server
	turn   int // scans so far
	seen   map[string]sighting
}

func newScanner(s *Server) *scanner { return &scanner{server: s, seen: map[string]sighting{}} }

func (c *scanner) run(ctx context.Context) {
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.scan(ctx, time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (c *scanner) scan(ctx context.Context, now time.Time) {
	owns := c.server.opts.Owns(ctx, c.turn)
	c.turn++
	for n := range shardCount {
		shard := shardName(n)
		if !owns(shard) {
			continue
		}
		if err := c.scanShard(ctx, shard, now); err != nil {
			event.Log(c.server.opts.Log, event.JobScan, event.Subject(shard), event.Err(err))
			return
		}
	}
	for key, s := range c.seen {
		if now.Sub(s.last) > forgetAfter {
			delete(c.seen, key)
		}
	}
}

func (c *scanner) scanShard(ctx context.Context, shard string, now time.Time) error {
	prefix := jobPrefix + shard + "/"
	after := ""
	for {
		page, err := c.server.opts.Table.List(ctx, prefix, after, scanPage)
		if err != nil {
			return fault.New(fault.KindOf(err), "job.scan", "table", err)
		}
		for _, row := range page {
			c.look(ctx, row, now)
			after = row.Key
		}
		if len(page) < scanPage {
			return nil
		}
	}
}

// look queues a job that waits, or whose row has not changed for the time of a
// lease, and removes one whose retention is over.
func (c *scanner) look(ctx context.Context, row store.Row, now time.Time) {
	rec, err := decode(row)
	if err != nil {
		event.Log(c.server.opts.Log, event.JobScan, event.Subject(row.Key), event.Err(err))
		return
	}
	if rec.ended() {
		if now.After(rec.Expires.Add(expiryMargin)) {
			_ = c.server.opts.Table.Delete(ctx, row.Key, row.Version)
		}
		return
	}
	s, ok := c.seen[row.Key]
	if !ok || s.version != row.Version {
		s = sighting{version: row.Version, since: now}
	}
	s.last = now
	c.seen[row.Key] = s
	wait := leaseTime
	if rec.State == StateAccepted {
		wait = min(time.Duration(rec.Tries)*scanInterval, maxPause)
	}
	if now.Sub(s.since) >= wait {
		c.server.offer(rec.Team, rec.ID)
	}
}
