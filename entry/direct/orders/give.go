package orders

import (
	"context"
	"fmt"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/residence"
)

// announceTime is the time between telling the entries that a model is going
// to be unloaded and the order, so that they send no more requests for it. It
// covers the way between regions.
const announceTime = 30 * time.Millisecond

// call is one order on its way.
type call struct {
	book   *residence.Book
	state  *residence.State
	server fleet.Server
	order  fleet.Order
	reason string
}

// beginLocked notes an order as being sent and sends it on a goroutine of its
// own. The channel is closed when its outcome has been taken in.
func (k *Keeper) beginLocked(ctx context.Context, service, server string, o fleet.Order, reason string) <-chan struct{} {
	b := k.books[service]
	s := b.Servers[server]
	b.Begin(s, o, k.opts.Clock())
	c := call{book: b, state: s, server: s.Server, order: o, reason: reason}
	done := make(chan struct{})
	k.callLocked(func() {
		defer close(done)
		k.give(context.WithoutCancel(ctx), c)
	})
	return done
}

// give sends one order and takes in its outcome.
func (k *Keeper) give(ctx context.Context, c call) {
	if c.order.Kind == fleet.OrderUnload {
		k.tell(c.state, k.opts.Clock())
		if c.order.Adapter == "" {
			sleep(ctx, announceTime)
		}
	}
	outcome, err := k.send(ctx, &c)
	k.mu.Lock()
	now := k.opts.Clock()
	k.takeOutcomeLocked(c, outcome, err, now)
	ready := c.state.Ready(residence.Key{Model: c.order.Model, Adapter: c.order.Adapter})
	k.changedLocked()
	k.mu.Unlock()
	k.logOrder(c, outcome, err)
	k.wakePlanner()
	sleep(ctx, ready-now) // of an adapter the others are told when it is there
	k.tell(c.state, max(ready, now))
}

func (k *Keeper) takeOutcomeLocked(c call, outcome fleet.OrderOutcome, err error, now time.Duration) {
	switch {
	case err == nil && taken(outcome):
		k.counts.Accepted++
		c.book.Answered(c.state, outcome, now)
	case err == nil:
		k.counts.Declined++
		c.book.Answered(c.state, outcome, now)
	case certainlyNot(err):
		k.counts.Declined++
		c.state.NotSent(now)
	default:
		k.counts.Unanswered++
		c.state.Lost(now)
	}
}

// taken reports whether the server has done, or does, what it was ordered.
func taken(o fleet.OrderOutcome) bool {
	return o == fleet.OrderAccepted || o == fleet.OrderHolds
}

// send gives the order if the lease is held right before.
func (k *Keeper) send(ctx context.Context, c *call) (fleet.OrderOutcome, error) {
	term, left := k.lease.held()
	if left <= 0 {
		return 0, fault.Newf(fault.KindUnavailable, "orders.give", c.server.ID, "the lease is not held")
	}
	if now := k.opts.Clock(); now < k.lease.barred()[c.server.ID] {
		return 0, fault.Newf(fault.KindUnavailable, "orders.give", c.server.ID, "it had an order of another entry lately")
	}
	k.note(c.server.ID, true)
	defer k.note(c.server.ID, false)
	c.order.Holder, c.order.Token = k.opts.Self, term
	timeout := orderTimeout
	if c.order.Adapter != "" {
		timeout = adapterTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout, left))
	defer cancel()
	return k.opts.Control.Order(ctx, &c.server, c.order)
}

// note keeps when an order to a server began or ended.
func (k *Keeper) note(server string, begins bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if begins {
		k.given.begin(server, k.opts.Clock())
		return
	}
	k.given.end(server, k.opts.Clock())
}

// certainlyNot reports whether the failed order cannot have reached its server.
func certainlyNot(err error) bool {
	return fault.Is(err, fault.KindUnavailable) || fault.Is(err, fault.KindRefused) || fault.Is(err, fault.KindInvalid)
}

// askLocked asks a server for a report on a goroutine of its own.
func (k *Keeper) askLocked(ctx context.Context, b *residence.Book, s *residence.State) {
	server := s.Server
	k.asking[server.ID] = true
	k.callLocked(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
		defer cancel()
		r, err := k.opts.Control.Report(ctx, &server)
		k.reported(b, s, r, err)
	})
}

func (k *Keeper) reported(b *residence.Book, s *residence.State, r fleet.Report, err error) {
	k.mu.Lock()
	delete(k.asking, s.Server.ID)
	now := k.opts.Clock()
	worked := s.Working()
	k.counts.Reports++
	if err != nil {
		k.counts.FailedReports++
		s.ReportFailed(now)
	} else {
		b.Report(s, r, now)
	}
	finished := worked && !s.Working()
	k.changedLocked()
	k.mu.Unlock()
	if err != nil {
		event.Log(k.opts.Log, event.ReportFailed, event.Peer(s.Server.ID), event.Err(err))
		return
	}
	if finished {
		event.Log(k.opts.Log, event.WorkFinished, event.Peer(s.Server.ID))
	}
	k.tell(s, now)
	k.wakePlanner()
}

// tell reports what a server holds at the given time.
func (k *Keeper) tell(s *residence.State, at time.Duration) {
	if k.opts.OnChange == nil {
		return
	}
	k.mu.Lock()
	id := s.Server.ID
	c := Change{Born: s.Server.Born, OrderSeq: s.Seq()}
	c.Residents, c.Fetching = s.Residents(at)
	k.mu.Unlock()
	k.opts.OnChange(id, c)
}

func (k *Keeper) logOrder(c call, outcome fleet.OrderOutcome, err error) {
	what := event.OrderGiven
	fields := []event.Field{event.Peer(c.server.ID), event.Subject(subject(c.order)), event.Count(c.order.Seq)}
	reason := c.reason
	switch {
	case err != nil && certainlyNot(err):
		what = event.OrderDeclined
	case err != nil:
		what = event.OrderNoAnswer
	case !taken(outcome):
		what = event.OrderDeclined
		reason = fmt.Sprintf("%s; outcome %d", reason, outcome)
	}
	fields = append(fields, event.Reason(reason))
	if err != nil {
		fields = append(fields, event.Err(err))
	}
	event.Log(k.opts.Log, what, fields...)
}

func subject(o fleet.Order) string {
	name, verb := o.Model, "load "
	if o.Adapter != "" {
		name += "/" + o.Adapter
	}
	if o.Kind == fleet.OrderUnload {
		verb = "unload "
	}
	return verb + name
}
