package memory

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/ring"
	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/placement"
)

// evictionRounds bounds how often room is made for one load; another load may
// take the room first.
const evictionRounds = 3

// flight is one load in progress that any number of requests wait for.
type flight struct {
	request request
	done    chan struct{}
	err     error // valid after done is closed
}

// fetch joins the flight that loads the artifact, or begins it, and waits.
func (m *Memory) fetch(ctx context.Context, r request) error {
	select {
	case <-m.ready:
	case <-ctx.Done():
		return fault.New(fault.KindCanceled, "memory.inventory", "", ctx.Err())
	}
	f, err := m.join(r)
	if err != nil {
		return err
	}
	select {
	case <-f.done:
		return f.err
	case <-ctx.Done():
		return fault.New(fault.KindCanceled, "memory.load", "", ctx.Err())
	}
}

func (m *Memory) join(r request) (*flight, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f, ok := m.flights[r.artifact]; ok {
		return f, nil
	}
	if m.ledger.Quarantined() {
		return nil, fault.Newf(fault.KindUnavailable, "memory.load", "", "orders of an earlier process may still take effect")
	}
	f := &flight{request: r, done: make(chan struct{})}
	waiting := m.models
	if r.artifact.Kind == wire.KindAdapter {
		waiting = m.adapters
	}
	if !waiting.Offer(f) {
		return nil, fault.Newf(fault.KindRefused, "memory.load", "", "too many loads are waiting")
	}
	m.flights[r.artifact] = f
	return f, nil
}

func (m *Memory) runLoads(ctx context.Context, waiting *ring.Ring[*flight]) {
	for {
		f, err := waiting.Take(ctx)
		if err != nil {
			return
		}
		m.land(f, m.load(ctx, f.request))
	}
}

func (m *Memory) land(f *flight, err error) {
	if err != nil {
		event.Log(m.opts.Log, event.OrderFailed, event.Subject(f.request.artifact.String()), event.Err(err))
	}
	m.mu.Lock()
	delete(m.flights, f.request.artifact)
	m.mu.Unlock()
	f.err = err
	close(f.done)
}

// load carries out one load, base model pinned, room made, permit taken.
func (m *Memory) load(ctx context.Context, r request) error {
	if release, ok := m.pin(r.artifact); ok {
		release()
		return nil
	}
	if r.base != (wire.Artifact{}) {
		release, ok := m.pin(r.base)
		if !ok {
			return fault.Newf(fault.KindUnavailable, "memory.load", "", "base model %s is not resident", r.base)
		}
		defer release()
	}
	if m.opts.Permits != nil {
		release, err := m.opts.Permits.Take(ctx, r.artifact.Kind)
		if err != nil {
			return err
		}
		defer release()
	}
	for {
		id, epoch, err := m.reserve(ctx, r)
		if err != nil {
			return err
		}
		order := engine.Order{Verb: engine.VerbLoad, Artifact: r.artifact, Base: r.base.Name, Bytes: r.bytes}
		err = m.give(ctx, order, id, epoch)
		if !fault.Is(err, fault.KindRefused) || m.newest(epoch) {
			return err
		}
	}
}

// newest reports whether no later fencing number than epoch is in use. An
// order overtaken by a later number is refused and given again.
func (m *Memory) newest(epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch == epoch
}

// reserve counts the artifact as taken, after making room when allowed.
func (m *Memory) reserve(ctx context.Context, r request) (placement.OrderID, uint64, error) {
	var err error
	for range evictionRounds {
		var id placement.OrderID
		var unloads []unload
		m.mu.Lock()
		epoch := m.epoch
		id, err = m.ledger.BeginLoad(r.artifact, r.bytes, epoch)
		if fault.Is(err, fault.KindRefused) && r.evict {
			unloads = m.beginEvictionLocked(r.bytes - m.ledger.Free())
		}
		m.mu.Unlock()
		if err == nil {
			return id, epoch, nil
		}
		if len(unloads) == 0 {
			return 0, 0, err
		}
		for _, u := range unloads {
			counters.Add("evictions", 1)
			_ = m.give(ctx, engine.Order{Verb: engine.VerbUnload, Artifact: u.artifact}, u.id, u.epoch)
		}
	}
	return 0, 0, err
}

// give sends an order whose place in the ledger is id and books its outcome.
func (m *Memory) give(ctx context.Context, o engine.Order, id placement.OrderID, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.Fencing, o.TTL = epoch, orderTTL
	err := m.opts.Engine.Order(ctx, o)
	if o.Verb == engine.VerbUnload && fault.Is(err, fault.KindNotFound) {
		err = nil
	}
	m.book(o, id, err)
	return err
}

func (m *Memory) book(o engine.Order, id placement.OrderID, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	switch fault.KindOf(err) {
	case fault.KindRefused, fault.KindInvalid, fault.KindNotFound, fault.KindUnavailable:
		m.ledger.NotDone(o.Artifact, id)
		counters.Add("orders_refused", 1)
		return
	}
	if err != nil {
		m.ledger.Lost(o.Artifact, id, now)
		m.epoch++
		counters.Add("orders_lost", 1)
		event.Log(m.opts.Log, event.OrderLost, event.Subject(o.Artifact.String()), event.Err(err))
		m.Refresh()
		return
	}
	m.ledger.Done(o.Artifact, id, now)
	counters.Add(string(o.Verb)+"s", 1)
	done := event.ArtifactLoaded
	if o.Verb == engine.VerbUnload {
		done = event.ArtifactUnloaded
		delete(m.uses, o.Artifact)
	}
	event.Log(m.opts.Log, done, event.Subject(o.Artifact.String()))
}
