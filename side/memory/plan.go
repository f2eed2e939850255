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

// fence is the newest order seen of one cell's plan holders.
type fence struct {
	term     uint64
	sequence uint64
}

// planOrder is an order that was taken.
type planOrder struct {
	order   rpc.Order
	expires time.Time
}

// Submit takes a plan holder's order, or refuses it when a later term or
// sequence was seen for its cell. Orders of a cell run one after the other.
func (m *Memory) Submit(o rpc.Order) rpc.OrderReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := m.fences[o.Cell]
	switch {
	case o.Term < seen.term:
		return m.refuse(o, "a later term was seen")
	case o.Term == seen.term && o.Sequence <= seen.sequence:
		return m.refuse(o, "a later order of this term was seen")
	}
	m.fences[o.Cell] = fence{term: o.Term, sequence: o.Sequence}
	if !m.plans.Offer(planOrder{order: o, expires: time.Now().Add(o.TTL)}) {
		return m.refuse(o, "too many orders are waiting")
	}
	return rpc.OrderReply{Accepted: true}
}

func (m *Memory) refuse(o rpc.Order, reason string) rpc.OrderReply {
	event.Log(m.opts.Log, event.OrderRefused, event.Subject(o.Artifact.String()), event.Reason(reason))
	return rpc.OrderReply{Reason: reason}
}

func (m *Memory) highestTermLocked() uint64 {
	var highest uint64
	for _, f := range m.fences {
		highest = max(highest, f.term)
	}
	return highest
}

func (m *Memory) runPlans(ctx context.Context) {
	for {
		p, err := m.plans.Take(ctx)
		if err != nil {
			return
		}
		if reason := m.carryOut(ctx, p); reason != "" {
			m.refuse(p.order, reason)
		}
	}
}

// carryOut returns why the order was not carried out, or "".
func (m *Memory) carryOut(ctx context.Context, p planOrder) string {
	m.mu.Lock()
	stale := p.order.Term < m.fences[p.order.Cell].term
	m.mu.Unlock()
	if stale {
		return "a later term was seen"
	}
	if time.Now().After(p.expires) {
		return "expired"
	}
	switch p.order.Kind {
	case engine.VerbLoad:
		return m.planLoad(p.order.Artifact)
	case engine.VerbUnload:
		return m.planUnload(ctx, p.order.Artifact, p.expires)
	case engine.VerbRole:
		return m.planRole(ctx, p.order.Role)
	}
	return "unknown kind of order"
}

// planLoad begins a load that evicts nothing and does not wait for it.
func (m *Memory) planLoad(a wire.Artifact) string {
	served, ok := m.lookup(a.Name)
	if !ok {
		return "not declared"
	}
	r := request{artifact: a, bytes: served.Bytes}
	if served.Base != served.Artifact {
		r.base = served.Base
	}
	if m.usable(a) {
		return ""
	}
	if _, err := m.join(r); err != nil {
		return fault.KindOf(err).String()
	}
	return ""
}

func (m *Memory) usable(a wire.Artifact) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.Usable(a)
}

// planUnload unloads an artifact and, with a model, its adapters. New requests
// are refused from now on; those in progress are waited for, until the order
// expires.
func (m *Memory) planUnload(ctx context.Context, a wire.Artifact, expires time.Time) string {
	leaving := m.retire(a)
	defer m.unretire(leaving)
	ctx, cancel := context.WithDeadline(ctx, expires)
	defer cancel()
	if !m.awaitIdle(ctx, leaving) {
		return "still in use when the order expired"
	}
	m.mu.Lock()
	unloads := m.unloadsOfLocked(a)
	m.mu.Unlock()
	if len(unloads) == 0 {
		return "not resident, or not settled"
	}
	for _, u := range unloads {
		if err := m.give(ctx, engine.Order{Verb: engine.VerbUnload, Artifact: u.artifact}, u.id, u.epoch); err != nil {
			return fault.KindOf(err).String()
		}
	}
	return ""
}

func (m *Memory) unloadsOfLocked(a wire.Artifact) []unload {
	for _, c := range m.idleLocked() {
		if c.artifacts[len(c.artifacts)-1] != a {
			continue
		}
		var out []unload
		for _, part := range c.artifacts {
			out = append(out, m.bookUnloadLocked(part)...)
		}
		return out
	}
	return nil
}

func (m *Memory) planRole(ctx context.Context, role engine.Role) string {
	m.mu.Lock()
	epoch := m.epoch
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := m.opts.Engine.Order(ctx, engine.Order{Verb: engine.VerbRole, Role: role, Fencing: epoch, TTL: orderTTL}); err != nil {
		return fault.KindOf(err).String()
	}
	return ""
}
