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

// maxEvictionRounds limits the rounds of evictions for one load, because a
// concurrent load may take the freed memory after each round.
const maxEvictionRounds = 3

// pendingLoad is a queued or running load, shared by all requests that wait for it.
type pendingLoad struct {
	request loadRequest
	done    chan struct{}
	err     error // valid after done is closed
}

// awaitLoad waits for the load of the artifact, and queues one if there is none.
func (m *Memory) awaitLoad(ctx context.Context, r loadRequest) error {
	select {
	case <-m.ready:
	case <-ctx.Done():
		return fault.New(fault.KindCanceled, "memory.inventory", "", ctx.Err())
	}
	pending, err := m.joinLoad(r)
	if err != nil {
		return err
	}
	select {
	case <-pending.done:
		return pending.err
	case <-ctx.Done():
		return fault.New(fault.KindCanceled, "memory.load", "", ctx.Err())
	}
}

func (m *Memory) joinLoad(r loadRequest) (*pendingLoad, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if pending, ok := m.pendingLoads[r.artifact]; ok {
		return pending, nil
	}
	if m.ledger.Quarantined() {
		return nil, fault.Newf(fault.KindUnavailable, "memory.load", "", "orders of an earlier process may still take effect")
	}
	pending := &pendingLoad{request: r, done: make(chan struct{})}
	queue := m.models
	if r.artifact.Kind == wire.KindAdapter {
		queue = m.adapters
	}
	if !queue.Offer(pending) {
		return nil, fault.Newf(fault.KindRefused, "memory.load", "", "too many loads are waiting")
	}
	m.pendingLoads[r.artifact] = pending
	return pending, nil
}

func (m *Memory) runLoads(ctx context.Context, queue *ring.Ring[*pendingLoad]) {
	for {
		pending, err := queue.Take(ctx)
		if err != nil {
			return
		}
		m.finishLoad(pending, m.load(ctx, pending.request))
	}
}

func (m *Memory) finishLoad(pending *pendingLoad, err error) {
	if err != nil {
		event.Log(m.opts.Log, event.OrderFailed, event.Subject(pending.request.artifact.String()), event.Err(err))
	}
	m.mu.Lock()
	delete(m.pendingLoads, pending.request.artifact)
	m.mu.Unlock()
	pending.err = err
	close(pending.done)
}

// load loads one artifact: it pins the base model, takes a permit, reserves memory
// and sends the order to the engine.
func (m *Memory) load(ctx context.Context, r loadRequest) error {
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
		id, token, err := m.reserve(ctx, r)
		if err != nil {
			return err
		}
		order := engine.Order{Verb: engine.VerbLoad, Artifact: r.artifact, Base: r.base.Name, Bytes: r.bytes}
		err = m.sendOrder(ctx, order, id, token)
		if !fault.Is(err, fault.KindRefused) || m.isCurrentToken(token) {
			return err
		}
	}
}

// isCurrentToken reports whether token is still the fencing token of new orders. An
// order that was rejected is sent again if its token is no longer current.
func (m *Memory) isCurrentToken(token uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.engineToken == token
}

// reserve records the load in the ledger, which reserves its memory, and evicts idle
// artifacts first if needed and allowed. It returns the order's ledger ID and
// fencing token.
func (m *Memory) reserve(ctx context.Context, r loadRequest) (placement.OrderID, uint64, error) {
	var err error
	for range maxEvictionRounds {
		var id placement.OrderID
		var unloads []pendingUnload
		m.mu.Lock()
		token := m.engineToken
		id, err = m.ledger.BeginLoad(r.artifact, r.bytes, token)
		if fault.Is(err, fault.KindRefused) && r.evict {
			unloads = m.beginEvictionLocked(r.bytes - m.ledger.Free())
		}
		m.mu.Unlock()
		if err == nil {
			return id, token, nil
		}
		if len(unloads) == 0 {
			return 0, 0, err
		}
		for _, u := range unloads {
			counters.Add("evictions", 1)
			_ = m.sendOrder(ctx, engine.Order{Verb: engine.VerbUnload, Artifact: u.artifact}, u.id, u.engineToken)
		}
	}
	return 0, 0, err
}

// sendOrder sends an order to the engine and records its result in the ledger under
// id.
func (m *Memory) sendOrder(ctx context.Context, o engine.Order, id placement.OrderID, token uint64) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	o.FencingToken, o.TTL = token, orderTTL
	err := m.opts.Engine.Order(ctx, o)
	if o.Verb == engine.VerbUnload && fault.Is(err, fault.KindNotFound) {
		err = nil
	}
	m.recordResult(o, id, err)
	return err
}

func (m *Memory) recordResult(o engine.Order, id placement.OrderID, err error) {
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
		m.engineToken++
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
