package front

import (
	"context"
	"sync/atomic"
	"time"

	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/fleet"
)

// attempt is one sending of a request to a server.
type attempt struct {
	ticket  *balance.Ticket
	number  int // 1 for the first
	begun   time.Time
	viewAge time.Duration // since the servers' registrations were read, at begun
	ctx     context.Context
	cancel  context.CancelFunc
	answer  *exchange.Response // nil until the server has answered
	watch   *stallWatch        // nil if no other server may take the request over
	brought atomic.Bool        // the server has sent an event, or a whole answer
}

// newAttempt returns an attempt that ends with ctx. v is the view that the
// server was chosen from. The caller must call end.
func newAttempt(ctx context.Context, t *balance.Ticket, number int, v *fleet.View) *attempt {
	now := time.Now()
	a := &attempt{ticket: t, number: number, begun: now, viewAge: now.Sub(v.ServersRead)}
	a.ctx, a.cancel = context.WithCancel(ctx)
	return a
}

// end cancels the attempt if it is in progress and gives its ticket back.
func (a *attempt) end() {
	a.watch.stop()
	a.cancel()
	if a.answer != nil {
		_ = a.answer.Body.Close()
	}
	a.ticket.End()
}
