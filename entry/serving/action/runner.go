package action

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/daemon"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/answer"
	"peridotchute.example/idempotency"
	"peridotchute.example/store"
)

// Querier queries the side processes about actions.
type Querier interface {
	// QueryOrFence queries the server of the claim for the status of the action.
	// If fence is set, it also fences the attempt unless one has started.
	QueryOrFence(ctx context.Context, rec idempotency.Record, fence bool) idempotency.Event
	// Lookup queries every server of the pool about any attempt of the action.
	Lookup(ctx context.Context, pool, scoped string) idempotency.LookupResult
}

// Sender chooses backend servers for one request and sends its attempts.
type Sender interface {
	// Choose returns Chosen or NoServer.
	Choose(exclude string) idempotency.Event
	// Send sends the attempt once and returns Answered, NotStarted or Broken.
	Send(ctx context.Context, rec idempotency.Record) idempotency.Event
}

// Counters of the actions that this process ran for callers.
var (
	actionsRequested = expvar.NewInt("actions_asked")
	actionsReplies   = expvar.NewMap("actions_replies") // by outcome
)

// Runner runs and settles actions.
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

// drive runs the state machine of the action until it replies. ctx is not the
// context of the caller's request: an action continues after its caller has
// disconnected. If this process ends first, the outcome is unknown here, and any entry settles
// the action from its row.
func (r *Runner) drive(ctx context.Context, a idempotency.Action, pool string, sender Sender) (idempotency.Action, idempotency.Reply) {
	var ev idempotency.Event = idempotency.Begin{}
	for {
		var effect idempotency.Effect
		a, effect = idempotency.Step(a, ev, time.Now())
		if reply, ok := effect.(idempotency.Reply); ok {
			return a, reply
		}
		ev = r.execute(ctx, &a, effect, pool, sender)
		if daemon.Stopping(ctx) {
			return a, idempotency.Reply{Outcome: wire.OutcomeUnknown, Code: idempotency.CodeRunning, Reason: "this process stops"}
		}
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
		return r.rows.listUnresolved(ctx, e.Record)
	case idempotency.Wait:
		_ = clock.Sleep(ctx, e.For)
		return idempotency.Waited{}
	}
	return idempotency.StoreFailed{}
}

// run runs an action for a caller. If its row is not settled yet, run passes it to
// the settler.
func (r *Runner) run(ctx context.Context, a idempotency.Action, pool string, sender Sender) (idempotency.Action, idempotency.Reply) {
	actionsRequested.Add(1)
	a, reply := r.drive(ctx, a, pool, sender)
	actionsReplies.Add(string(reply.Outcome), 1)
	if reply.Unsettled {
		r.settler.add(a.Team, a.Key)
	}
	return a, reply
}

// Settle determines the outcome of an action without a new attempt. timeout
// limits how long it polls a running action.
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

// storeError wraps an error of the table and keeps its kind.
func storeError(step string, err error) error {
	return fault.New(fault.KindOf(err), step, "table", err)
}
