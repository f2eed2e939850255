package orders

import (
	"context"
	"time"

	"peridotchute.example/fleet"
	"peridotchute.example/placement/residence"
)

// runPlans plans at fixed times and when it is woken.
func (k *Keeper) runPlans(ctx context.Context) {
	ticker := time.NewTicker(planTime)
	defer ticker.Stop()
	for {
		k.plan(ctx)
		select {
		case <-ticker.C:
		case <-k.wake:
		case <-ctx.Done():
			return
		}
	}
}

// plan takes in what is new and begins the orders and reports that are due.
func (k *Keeper) plan(ctx context.Context) {
	term, left := k.lease.held()
	if left <= 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return
	}
	now := k.opts.Clock()
	k.update(term, now)
	for service, b := range k.books {
		for _, step := range b.Plan(now) {
			k.beginLocked(ctx, service, step.Server, step.Order, step.Reason)
		}
		for id, s := range b.Servers {
			if s.ReportDue(now) && !k.asking[id] {
				k.askLocked(ctx, b, s)
			}
		}
	}
}

// update begins the books of a new term and takes in a new view.
func (k *Keeper) update(term int64, now time.Duration) {
	v := k.opts.View()
	if v == nil || v.Config == nil {
		return
	}
	if term != k.term {
		k.books = map[string]*residence.Book{}
		k.term, k.view = term, nil
	}
	if v != k.view {
		k.view = v
		k.takeIn(v, now)
	}
	for _, b := range k.books {
		b.SetDown(k.opts.Down, now)
	}
}

func (k *Keeper) takeIn(v *fleet.View, now time.Duration) {
	for name, service := range v.Config.Services {
		if service.Engine == nil {
			continue
		}
		b := k.books[name]
		if b == nil {
			b = residence.NewBook(k.opts.LoadWindow, k.opts.LoadBurst)
			k.inherit(b, name, service.Engine)
			k.books[name] = b
		}
		b.Update(service.Engine, serversOf(v, name), now)
	}
	for name := range k.books {
		if s := v.Config.Services[name]; s == nil || s.Engine == nil {
			delete(k.books, name)
		}
	}
	k.changedLocked()
}

// inherit takes in what the holder before told: the servers that it ordered
// something lately, what they carry out, and the loads that it began. Of a
// holder that told nothing all loads are taken as begun.
func (k *Keeper) inherit(b *residence.Book, service string, engine *fleet.Engine) {
	at, h, ok := k.lease.lastOrders()
	for server, until := range k.lease.barred() {
		b.Inherit(server, residence.Inherited{Barred: until})
	}
	if h != nil {
		for server, w := range h.Work {
			b.Inherit(server, residence.Inherited{Barred: k.lease.barred()[server], Work: w.work(at), Seq: w.Seq})
		}
	}
	switch {
	case !ok:
	case h == nil:
		b.Rate.Assume(engine.LoadsPerS, at)
	default:
		for _, begun := range h.loads(service, at) {
			b.Rate.Begin(begun)
		}
	}
}

func serversOf(v *fleet.View, service string) []fleet.Server {
	var out []fleet.Server
	for _, s := range v.Servers {
		if s.Service == service {
			out = append(out, s)
		}
	}
	return out
}
