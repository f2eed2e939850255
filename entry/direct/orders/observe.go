package orders

import (
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/placement/loadplan"
)

// ObserveDemand records the demand that an entry has seen since its previous report.
func (m *Manager) ObserveDemand(from string, seen []loadplan.ModelDemand) {
	byService := map[string][]loadplan.ModelDemand{}
	urgent := false
	for _, d := range seen {
		byService[d.Service] = append(byService[d.Service], d)
		urgent = urgent || d.Waiting+d.Refused > 0
	}
	m.mu.Lock()
	for service, demand := range byService {
		if ps := m.placements[service]; ps != nil {
			ps.Demand.Observe(from, demand, m.opts.Clock())
		}
	}
	m.mu.Unlock()
	if urgent {
		m.wakePlanner()
	}
}

// Backfill records the demand that an entry saw before this entry acquired the
// lease. It fails with KindUnavailable while this entry does not issue the orders.
func (m *Manager) Backfill(history loadplan.HistorySnapshot) error {
	token, left := m.lease.held()
	m.mu.Lock()
	defer m.mu.Unlock()
	if left <= 0 || m.placementsToken != token {
		return fault.Newf(fault.KindUnavailable, "orders.backfill", "", "this entry does not issue the orders yet")
	}
	byService := map[string][]loadplan.PastDemand{}
	for _, p := range history.Models {
		byService[p.Service] = append(byService[p.Service], p)
	}
	for service, seen := range byService {
		if ps := m.placements[service]; ps != nil {
			ps.Demand.Backfill(seen, time.Duration(history.SinceMS)*time.Millisecond, m.opts.Clock())
		}
	}
	return nil
}
