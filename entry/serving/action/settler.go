package action

import (
	"context"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/ring"
	"peridotchute.example/idempotency"
)

const (
	settleQueueSize  = 4096 // queued open actions of this entry; any excess is left to the reconciler
	settleWorkers    = 8
	settleTimeout    = 5 * time.Second // limit of one try
	settleRetryDelay = time.Second     // delay before each try of an action
)

// openAction is an action whose row does not record its outcome yet.
type openAction struct {
	team string
	key  string
	due  time.Time
}

// settler settles the actions that this entry replied to before their row recorded
// the outcome.
type settler struct {
	runner *Runner
	queue  *ring.Ring[openAction]
}

func newSettler(r *Runner) *settler {
	return &settler{runner: r, queue: ring.New[openAction](settleQueueSize, ring.Reject)}
}

func (s *settler) add(team, key string) {
	scoped := idempotency.ScopedKey(team, key)
	event.Log(s.runner.log, event.OutcomeNotWritten, event.Subject(scoped))
	s.push(openAction{team: team, key: key, due: time.Now().Add(settleRetryDelay)})
}

func (s *settler) push(o openAction) {
	if !s.queue.Offer(o) {
		event.Log(s.runner.log, event.SettleDropped, event.Subject(idempotency.ScopedKey(o.team, o.key)))
	}
}

// run settles queued actions until ctx is canceled.
func (s *settler) run(ctx context.Context) {
	for range settleWorkers - 1 {
		go s.work(ctx)
	}
	s.work(ctx)
}

func (s *settler) work(ctx context.Context) {
	for {
		o, err := s.queue.Take(ctx)
		if err != nil {
			return
		}
		_ = clock.Sleep(ctx, time.Until(o.due))
		if ctx.Err() != nil {
			return
		}
		reply := s.runner.Settle(ctx, o.team, o.key, settleTimeout)
		if !unfinished(reply) {
			event.Log(s.runner.log, event.ActionSettled, event.Subject(idempotency.ScopedKey(o.team, o.key)), event.Reason(string(reply.Outcome)))
			continue
		}
		o.due = time.Now().Add(settleRetryDelay)
		s.push(o)
	}
}

// unfinished reports whether the action must be settled again.
func unfinished(r idempotency.Reply) bool {
	return r.Unsettled || r.Code == idempotency.CodeStoreDown
}
