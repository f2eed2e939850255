package orders

import (
	"context"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/placement/residence"
)

// ensureTimeout bounds the wait for a model: the slowest load of the known
// deployments takes 6 s and may have to wait for others.
const ensureTimeout = 15 * time.Second

// retryChoice is the time after which a choice is made again without a change:
// an adapter may have become idle.
const retryChoice = 100 * time.Millisecond

// flightKey names what is being made resident.
type flightKey struct {
	service string
	key     residence.Key
}

// flight is one effort that any number of callers wait for.
type flight struct {
	waiters int
	cancel  context.CancelFunc
	done    chan struct{}
	server  string
	err     error
}

// Ensure makes a model, or an adapter of it, resident at some server and
// returns the server's ID. prefer lists servers in the order in which the
// caller would like them. Only the holder does so: elsewhere it fails at once
// with KindUnavailable.
func (k *Keeper) Ensure(ctx context.Context, service, model, adapter string, prefer []string) (string, error) {
	if _, left := k.lease.held(); left <= 0 {
		holder, _ := k.lease.holder()
		return "", fault.Newf(fault.KindUnavailable, "orders.ensure", holder, "another entry gives the orders")
	}
	fk := flightKey{service: service, key: residence.Key{Model: model, Adapter: adapter}}
	f := k.join(ctx, fk, prefer)
	defer k.leave(fk, f)
	select {
	case <-f.done:
		return f.server, f.err
	case <-ctx.Done():
		return "", fault.New(fault.KindCanceled, "orders.ensure", model, ctx.Err())
	}
}

func (k *Keeper) join(ctx context.Context, fk flightKey, prefer []string) *flight {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f := k.flights[fk]; f != nil {
		f.waiters++
		return f
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), ensureTimeout)
	f := &flight{waiters: 1, cancel: cancel, done: make(chan struct{})}
	k.flights[fk] = f
	go k.fly(ctx, fk, f, prefer)
	return f
}

// leave ends the flight when nobody waits for it any more.
func (k *Keeper) leave(fk flightKey, f *flight) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f.waiters--
	if f.waiters > 0 {
		return
	}
	f.cancel()
	if k.flights[fk] == f {
		delete(k.flights, fk)
	}
}

func (k *Keeper) fly(ctx context.Context, fk flightKey, f *flight, prefer []string) {
	defer f.cancel()
	server, err := k.makeResident(ctx, fk, prefer)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.flights[fk] == f {
		delete(k.flights, fk)
	}
	f.server, f.err = server, err
	close(f.done)
}

// makeResident gives the orders that it takes, one after the other, and waits
// in between for what is in progress.
func (k *Keeper) makeResident(ctx context.Context, fk flightKey, prefer []string) (string, error) {
	for {
		if _, left := k.lease.held(); left <= 0 {
			return "", fault.Newf(fault.KindUnavailable, "orders.ensure", "", "the lease ended")
		}
		c, wait := k.advance(ctx, fk, prefer)
		switch c.Outcome {
		case residence.ChoiceHeld:
			return c.Server, k.awaitReady(ctx, fk, c)
		case residence.ChoiceUnknown:
			return "", fault.Newf(fault.KindNotFound, "orders.ensure", fk.service, "model %q is not declared", fk.key.Model)
		}
		select {
		case <-wait:
		case <-time.After(retryChoice):
		case <-ctx.Done():
			return "", fault.New(fault.KindUnavailable, "orders.ensure", fk.service, ctx.Err())
		}
	}
}

// advance decides on the next order and begins it. The channel is closed when
// it is worth deciding again.
func (k *Keeper) advance(ctx context.Context, fk flightKey, prefer []string) (residence.Choice, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := k.books[fk.service]
	if b == nil || k.stopped {
		return residence.Choice{Outcome: residence.ChoiceWait}, k.changed
	}
	now := k.opts.Clock()
	c := b.Choose(fk.key, prefer, now)
	switch c.Outcome {
	case residence.ChoiceOrder:
		return c, k.beginLocked(ctx, fk.service, c.Server, c.Order, "on demand")
	case residence.ChoiceNoModel:
		b.Demand.Want(fk.key.Model, now)
		k.wakePlanner()
	}
	return c, k.changed
}

// awaitReady waits until an adapter that is on its way has been loaded.
func (k *Keeper) awaitReady(ctx context.Context, fk flightKey, c residence.Choice) error {
	left := c.Ready - k.opts.Clock()
	if fk.key.Adapter == "" || left <= 0 {
		return nil
	}
	if !sleep(ctx, left) {
		return fault.New(fault.KindCanceled, "orders.ensure", c.Server, ctx.Err())
	}
	return nil
}
