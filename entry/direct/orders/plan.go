package orders

import (
	"context"
	"time"

	"peridotchute.example/fleet"
	"peridotchute.example/placement/loadplan"
)

const (
	// minPlanPause is the least time between the end of a plan and the next one.
	minPlanPause = 10 * time.Millisecond
	// planPauseFactor bounds the planner's share of the processor: the pause after a plan
	// is at least this many times as long as the plan took.
	planPauseFactor = 4
)

// runPlanner plans every planInterval and whenever it is woken, until ctx ends. However
// often it is woken, it leaves most of the processor to the renewal of the lease, to
// reports and to requests.
func (m *Manager) runPlanner(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		began := time.Now()
		m.plan(ctx)
		if !sleep(ctx, planPause(time.Since(began))) {
			return
		}
		select {
		case <-ticker.C:
		case <-m.planWake:
		case <-ctx.Done():
			return
		}
	}
}

// planPause returns the pause after a plan that took the given time.
func planPause(took time.Duration) time.Duration {
	return max(minPlanPause, planPauseFactor*took)
}

// plan updates the placement state and starts the orders and reports that are due.
func (m *Manager) plan(ctx context.Context) {
	token, left := m.lease.held()
	if left <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return
	}
	now := m.opts.Clock()
	m.refreshLocked(token, now)
	for service, ps := range m.placements {
		for _, step := range ps.Plan(now) {
			m.beginOrderLocked(ctx, service, step.Server, step.Order, step.Reason)
		}
		for id, s := range ps.Servers {
			if s.ReportDue(now) && !m.reportsPending[id] {
				m.requestReportLocked(ctx, ps, s)
			}
		}
	}
}

// refreshLocked discards the placement state when the fencing token has changed and
// applies the current view. m.mu is held.
func (m *Manager) refreshLocked(token int64, now time.Duration) {
	v := m.opts.View()
	if v == nil || v.Config == nil {
		return
	}
	if token != m.placementsToken {
		m.placements = map[string]*loadplan.PlacementState{}
		m.placementsToken, m.view = token, nil
	}
	if v != m.view {
		m.view = v
		m.applyViewLocked(v, now)
	}
	for _, ps := range m.placements {
		ps.SetDown(m.opts.Down, now)
		ps.SetLimits(m.opts.Limit)
	}
}

func (m *Manager) applyViewLocked(v *fleet.View, now time.Duration) {
	for name, service := range v.Config.Services {
		if service.Engine == nil {
			continue
		}
		b := m.placements[name]
		if b == nil {
			b = loadplan.NewPlacementState(m.opts.LoadWindow, m.opts.LoadBurst)
			m.applyHandover(b, name, service.Engine)
			m.placements[name] = b
		}
		b.Update(service.Engine, serversOf(v, name), now)
	}
	for name := range m.placements {
		if s := v.Config.Services[name]; s == nil || s.Engine == nil {
			delete(m.placements, name)
		}
	}
	m.markChanged()
}

// applyHandover applies what the previous lease holder handed over: the servers
// that it ordered within the gap, the orders in progress, and the loads that it
// began. Without a handover the full rate of loads is assumed to have been used.
func (m *Manager) applyHandover(ps *loadplan.PlacementState, service string, engine *fleet.Engine) {
	at, h, ok := m.lease.lastOrders()
	for server, until := range m.lease.fencedUntil() {
		ps.SetInherited(server, loadplan.Inherited{FencedUntil: until})
	}
	if h != nil {
		for server, w := range h.Work {
			ps.SetInherited(server, loadplan.Inherited{FencedUntil: m.lease.fencedUntil()[server], Work: w.toWork(at), Seq: w.Seq})
		}
	}
	switch {
	case !ok:
	case h == nil:
		ps.Rate.Assume(engine.LoadsPerS, at)
	default:
		for _, loadTime := range h.loadTimes(service, at) {
			ps.Rate.Begin(loadTime)
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
