package action

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/serving/answer"
	"peridotchute.example/idempotency"
	"peridotchute.example/store"
)

// Querier reaches the side process that a claim names.
type Querier interface {
	// QueryOrFence bars the attempt, or only asks what became of the action.
	QueryOrFence(ctx context.Context, rec idempotency.Record, fence bool) idempotency.Event
	// Lookup asks every server of the pool about any attempt of the action.
	Lookup(ctx context.Context, pool, scoped string) idempotency.LookupResult
}

// Sender chooses a backend server for one request and sends it there.
type Sender interface {
	// Choose returns a Chosen or NoServer.
	Choose(exclude string) idempotency.Event
	// Send sends the attempt once and returns Answered, NotStarted or Broken.
	Send(ctx context.Context, rec idempotency.Record) idempotency.Event
}

// Counters of all actions of this process.
var (
	actionsRequested = expvar.NewInt("actions_asked")
	actionsReplies   = expvar.NewMap("actions_replies") // by outcome
)

// Runner carries out actions.
type Runner struct {
	rows    rows
	querier Querier
	settler *settler
	log     logrus.FieldLogger
}

// NewRunner returns a runner over the table and the side processes.
func NewRunner(table store.Table, answers *answer.Store, querier Querier, log logrus.FieldLogger) *Runner {
	r := &Runner{rows: rows{table: table, answers: answers}, querier: querier, log: log}
	r.settler = newSettler(r)
	return r
}

// drive takes the action to its reply. The context bounds nothing but the
// process's life: an action goes on when its caller leaves.
func (r *Runner) drive(ctx context.Context, a idempotency.Action, pool string, sender Sender) (idempotency.Action, idempotency.Reply) {
	var ev idempotency.Event = idempotency.Begin{}
	for {
		var effect idempotency.Effect
		a, effect = idempotency.Step(a, ev, time.Now())
		if reply, ok := effect.(idempotency.Reply); ok {
			return a, reply
		}
		ev = r.execute(ctx, &a, effect, pool, sender)
	}
}

func (r *Runner) execute(ctx context.Context, a *idempotency.Action, effect idempotency.Effect, pool string, sender Sender) idempotency.Event {
	switch e := effect.(type) {
	case idempotency.Choose:
		return sender.Choose(e.Exclude)
	case idempotency.Send:
		return sender.Send(ctx, e.Record)
	case idempotency.PutIfAbsent:
		return r.rows.putIfAbsent(ctx, e.Record)
	case idempotency.CompareAndSet:
		return r.rows.compareAndSet(ctx, e.Version, e.Record)
	case idempotency.Read:
		return r.rows.read(ctx, a.Team, a.Key)
	case idempotency.Fence:
		return r.querier.QueryOrFence(ctx, e.Record, true)
	case idempotency.Query:
		return r.querier.QueryOrFence(ctx, e.Record, false)
	case idempotency.Lookup:
		return r.querier.Lookup(ctx, pool, idempotency.ScopedKey(a.Team, a.Key))
	case idempotency.ListUnresolved:
		event.Log(r.log, event.ActionUnresolved, event.Subject(idempotency.ScopedKey(a.Team, a.Key)), event.Peer(e.Record.Server), event.Reason(e.Record.Reason))
		return r.rows.announce(ctx, e.Record)
	case idempotency.Wait:
		_ = clock.Sleep(ctx, e.For)
		return idempotency.Waited{}
	}
	return idempotency.StoreFailed{}
}

// run runs an action for a caller and leaves what stays open to the settler.
func (r *Runner) run(ctx context.Context, a idempotency.Action, pool string, sender Sender) (idempotency.Action, idempotency.Reply) {
	actionsRequested.Add(1)
	a, reply := r.drive(ctx, a, pool, sender)
	actionsReplies.Add(string(reply.Outcome), 1)
	if reply.Unsettled {
		r.settler.add(a.Team, a.Key)
	}
	return a, reply
}

// Settle finds out what became of an action, without any new attempt.
func (r *Runner) Settle(ctx context.Context, team, key string, timeout time.Duration) idempotency.Reply {
	a := idempotency.Action{
		Mode:     idempotency.ModeSettle,
		Team:     team,
		Key:      key,
		Deadline: time.Now().Add(timeout),
	}
	_, reply := r.drive(ctx, a, "", nil)
	return reply
}

// storeError wraps a failed call of the table.
func storeError(step string, err error) error {
	return fault.New(fault.KindOf(err), step, "table", err)
}
