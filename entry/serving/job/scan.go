package job

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/serving/scan"
	"peridotchute.example/store"
)

// scanner finds the jobs that no entry is running.
type scanner struct {
	server  *Server
	scans   int                // number of scans started
	changes scan.ChangeTracker // versions of the jobs' rows
}

func newScanner(s *Server) *scanner { return &scanner{server: s, changes: scan.NewChangeTracker()} }

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
	owns := c.server.opts.ShardFilter(ctx, c.scans)
	c.scans++
	shard, err := scan.ForEachShard(shardCount, owns, func(shard string) error { return c.scanShard(ctx, shard, now) })
	if err != nil {
		event.Log(c.server.opts.Log, event.JobScanFailed, event.Subject(shard), event.Err(err))
		return
	}
	c.changes.DropStale(now)
}

func (c *scanner) scanShard(ctx context.Context, shard string, now time.Time) error {
	check := func(row store.Row) { c.checkRow(ctx, row, now) }
	if err := store.EachRow(ctx, c.server.opts.Table, jobPrefix+shard+"/", scanPageSize, check); err != nil {
		return fault.New(fault.KindOf(err), "job.scan", "table", err)
	}
	return nil
}

// checkRow queues a waiting job once its retry delay is over and any other
// unfinished job whose row is unchanged for leaseDuration. It deletes finished
// jobs after their retention.
func (c *scanner) checkRow(ctx context.Context, row store.Row, now time.Time) {
	rec, err := decodeRecord(row)
	if err != nil {
		event.Log(c.server.opts.Log, event.JobScanFailed, event.Subject(row.Key), event.Err(err))
		return
	}
	if rec.ended() {
		if now.After(rec.Expires.Add(expiryMargin)) {
			_ = c.server.opts.Table.Delete(ctx, row.Key, row.Version)
		}
		return
	}
	unchanged := c.changes.UnchangedFor(row.Key, row.Version, now)
	wait := leaseDuration
	if rec.State == StateAccepted {
		wait = min(time.Duration(rec.Tries)*scanInterval, maxRetryDelay)
	}
	if unchanged >= wait {
		c.server.enqueue(rec.Team, rec.ID)
	}
}
