package memory

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/engine"
	"peridotchute.example/rpc"
)

// fence identifies the newest order received for one shard.
type fence struct {
	fencingToken uint64
	sequence     uint64
}

// acceptedOrder is an order that is queued for execution.
type acceptedOrder struct {
	order   rpc.Order
	expires time.Time
}

// Submit queues the order of a lease holder. It declines the order if one with a
// higher fencing token, or with the same token and an equal or higher sequence, was
// received for the shard, or if the queue is full. Orders are executed one at a time.
func (m *Memory) Submit(o rpc.Order) rpc.OrderReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	newest := m.fences[o.Cell]
	switch {
	case o.Term < newest.fencingToken:
		return m.decline(o, "a later term was seen")
	case o.Term == newest.fencingToken && o.Sequence <= newest.sequence:
		return m.decline(o, "a later order of this term was seen")
	}
	m.fences[o.Cell] = fence{fencingToken: o.Term, sequence: o.Sequence}
	if !m.orders.Offer(acceptedOrder{order: o, expires: time.Now().Add(o.TTL)}) {
		return m.decline(o, "too many orders are waiting")
	}
	return rpc.OrderReply{Accepted: true}
}

func (m *Memory) decline(o rpc.Order, reason string) rpc.OrderReply {
	event.Log(m.opts.Log, event.OrderRefused, event.Subject(o.Artifact.String()), event.Reason(reason))
	return rpc.OrderReply{Reason: reason}
}

func (m *Memory) highestFencingTokenLocked() uint64 {
	var highest uint64
	for _, f := range m.fences {
		highest = max(highest, f.fencingToken)
	}
	return highest
}

func (m *Memory) runOrders(ctx context.Context) {
	for {
		accepted, err := m.orders.Take(ctx)
		if err != nil {
			return
		}
		if reason := m.execute(ctx, accepted); reason != "" {
			m.decline(accepted.order, reason)
		}
	}
}

// execute runs the order. It returns the reason if the order fails, or "".
func (m *Memory) execute(ctx context.Context, accepted acceptedOrder) string {
	m.mu.Lock()
	stale := accepted.order.Term < m.fences[accepted.order.Cell].fencingToken
	m.mu.Unlock()
	if stale {
		return "a later term was seen"
	}
	if time.Now().After(accepted.expires) {
		return "expired"
	}
	switch accepted.order.Kind {
	case engine.VerbLoad:
		return m.executeLoad(accepted.order.Artifact)
	case engine.VerbUnload:
		return m.executeUnload(ctx, accepted.order.Artifact, accepted.expires)
	case engine.VerbRole:
		return m.executeRole(ctx, accepted.order.Role)
	}
	return "unknown kind of order"
}

// executeLoad queues a load, which evicts nothing, without waiting for its end.
func (m *Memory) executeLoad(a wire.Artifact) string {
	resolved, ok := m.lookup(a.Name)
	if !ok {
		return "not declared"
	}
	r := loadRequest{artifact: a, bytes: resolved.Bytes}
	if resolved.Base != resolved.Artifact {
		r.base = resolved.Base
	}
	if m.isUsable(a) {
		return ""
	}
	if _, err := m.joinLoad(r); err != nil {
		return fault.KindOf(err).String()
	}
	return ""
}

func (m *Memory) isUsable(a wire.Artifact) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Usable(a)
}

// executeUnload unloads an artifact and, for a model, its adapters. It rejects new
// requests for them and waits for those in progress until the order expires.
func (m *Memory) executeUnload(ctx context.Context, a wire.Artifact, expires time.Time) string {
	retired := m.retire(a)
	defer m.unretire(retired)
	ctx, cancel := context.WithDeadline(ctx, expires)
	defer cancel()
	if !m.awaitIdle(ctx, retired) {
		return "still in use when the order expired"
	}
	m.mu.Lock()
	unloads := m.beginUnloadsLocked(a)
	m.mu.Unlock()
	if len(unloads) == 0 {
		return "not resident, or not settled"
	}
	for _, u := range unloads {
		if err := m.sendOrder(ctx, engine.Order{Verb: engine.VerbUnload, Artifact: u.artifact}, u.id, u.engineToken); err != nil {
			return fault.KindOf(err).String()
		}
	}
	return ""
}

func (m *Memory) beginUnloadsLocked(a wire.Artifact) []pendingUnload {
	for _, c := range m.evictionCandidatesLocked() {
		if c.artifacts[len(c.artifacts)-1] != a {
			continue
		}
		var out []pendingUnload
		for _, part := range c.artifacts {
			out = append(out, m.beginUnloadLocked(part)...)
		}
		return out
	}
	return nil
}

func (m *Memory) executeRole(ctx context.Context, role engine.Role) string {
	m.mu.Lock()
	token := m.engineToken
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := m.opts.Engine.Order(ctx, engine.Order{Verb: engine.VerbRole, Role: role, Fencing: token, TTL: orderTTL}); err != nil {
		return fault.KindOf(err).String()
	}
	return ""
}
