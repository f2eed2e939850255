package memory

import (
	"context"
	"time"

	"peridotchute.example/common/event"
	"peridotchute.example/engine"
	"peridotchute.example/placement"
)

// runPolls reads the engine's inventory, more often while anything is uncertain.
func (m *Memory) runPolls(ctx context.Context) {
	for {
		m.poll(ctx)
		timer := time.NewTimer(m.pollWait())
		select {
		case <-timer.C:
		case <-m.nudge:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

func (m *Memory) pollWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ledger.Settled() && !m.ledger.Quarantined() {
		return pollCalm
	}
	return pollBusy
}

func (m *Memory) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	m.acknowledge(ctx)
	asked := time.Now()
	inv, err := m.opts.Engine.Inventory(ctx)
	if err != nil {
		event.Log(m.opts.Log, event.InventoryFailed, event.Err(err))
		return
	}
	m.apply(inv, asked)
}

// acknowledge has an engine that checks fencing numbers answer to the newest
// one, after which no earlier order can take effect.
func (m *Memory) acknowledge(ctx context.Context) {
	m.mu.Lock()
	needed := m.opts.Fencing && m.known && (m.ledger.Quarantined() || m.ledger.Uncertain())
	order := engine.Order{Verb: engine.VerbRole, Role: m.role, Fencing: m.epoch, TTL: orderTTL}
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

func (m *Memory) apply(inv engine.Inventory, asked time.Time) {
	items := make([]placement.InventoryItem, 0, len(inv.Residents))
	for _, r := range inv.Residents {
		items = append(items, placement.InventoryItem{Artifact: r.Artifact, Bytes: r.Bytes, Loading: r.Loading})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.Observe(items, asked)
	m.role = inv.Role
	if inv.UsedBytes > m.opts.Capacity {
		counters.Add("breaches", 1)
		event.Log(m.opts.Log, event.MemoryOver, event.Count(inv.UsedBytes))
	}
	if !m.known {
		m.known = true
		close(m.ready)
	}
}
