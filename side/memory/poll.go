package memory

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/engine"
	"peridotchute.example/placement"
)

// runPolling polls the engine's inventory, more often while any order is unsettled.
func (m *Memory) runPolling(ctx context.Context) {
	for {
		m.poll(ctx)
		timer := time.NewTimer(m.nextPollDelay())
		select {
		case <-timer.C:
		case <-m.refresh:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (m *Memory) nextPollDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ledger.Settled() && !m.ledger.Quarantined() {
		return pollInterval
	}
	return uncertainPollInterval
}

func (m *Memory) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	m.acknowledge(ctx)
	requestedAt := time.Now()
	inv, err := m.opts.Engine.Inventory(ctx)
	if err != nil {
		event.Log(m.opts.Log, event.InventoryFailed, event.Err(err))
		return
	}
	m.apply(inv, requestedAt)
}

// acknowledge sends an order with the current fencing token to an engine that checks
// tokens. Once the engine has accepted it, no order with an older token can take
// effect.
func (m *Memory) acknowledge(ctx context.Context) {
	m.mu.Lock()
	needed := m.opts.Fencing && m.inventoryKnown && (m.ledger.Quarantined() || m.ledger.Uncertain())
	order := engine.Order{Verb: engine.VerbRole, Role: m.role, Fencing: m.engineToken, TTL: orderTTL}
	m.mu.Unlock()
	if !needed {
		return
	}
	if err := m.opts.Engine.Order(ctx, order); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Acknowledged(order.Fencing, time.Now())
}

func (m *Memory) apply(inv engine.Inventory, requestedAt time.Time) {
	items := make([]placement.InventoryItem, 0, len(inv.Residents))
	for _, r := range inv.Residents {
		items = append(items, placement.InventoryItem{Artifact: r.Artifact, Bytes: r.Bytes, Loading: r.Loading})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Observe(items, requestedAt)
	m.role = inv.Role
	if inv.UsedBytes > m.opts.Capacity {
		counters.Add("breaches", 1)
		event.Log(m.opts.Log, event.MemoryOver, event.Count(inv.UsedBytes))
	}
	if !m.inventoryKnown {
		m.inventoryKnown = true
		close(m.ready)
	}
}
