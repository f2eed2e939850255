package loadplan

import (
	"math"
	"time"
)

// Each entry keeps a history of its recent demand and sends it to a new lease
// holder, whose estimates would otherwise start at zero.

// PastDemand is the demand for one model that an entry has observed. Old arrivals are
// discounted as in the lease holder's estimates.
type PastDemand struct {
	Service  string  `json:"service"`
	Model    string  `json:"model"`
	Arrivals float64 `json:"arrivals"`
	Tokens   float64 `json:"tokens"`   // prompt tokens of the arrivals
	AgeMS    int64   `json:"asked_ms"` // time since the last arrival
}

// HistorySnapshot is the demand history that an entry sends once to a new lease
// holder.
type HistorySnapshot struct {
	SinceMS int64        `json:"since_ms"` // time since the first arrival; 0 if there was none
	Models  []PastDemand `json:"models,omitempty"`
}

// History is the decaying demand history of one entry. It is not safe for
// concurrent use.
type History struct {
	demand        map[historyKey]*PastDemand
	lastRequested map[historyKey]time.Duration
	firstArrival  time.Duration // time of the first arrival; 0 if there was none
	decayedAt     time.Duration
}

type historyKey struct{ service, model string }

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{demand: map[historyKey]*PastDemand{}, lastRequested: map[historyKey]time.Duration{}}
}

// Add adds the demand observed since the last call.
func (h *History) Add(demand []ModelDemand, now time.Duration) {
	h.decay(now)
	for _, m := range demand {
		if m.Arrivals == 0 {
			continue
		}
		k := historyKey{m.Service, m.Model}
		p := h.demand[k]
		if p == nil {
			p = &PastDemand{Service: m.Service, Model: m.Model}
			h.demand[k] = p
		}
		p.Arrivals += float64(m.Arrivals)
		p.Tokens += float64(m.PrefillTokens)
		h.lastRequested[k] = now
		if h.firstArrival == 0 {
			h.firstArrival = now
		}
	}
}

// decay discounts the history to the given time and removes models without
// requests within recentRequestTime.
func (h *History) decay(now time.Duration) {
	factor := math.Exp(-(now - h.decayedAt).Seconds() / slowTimeConstant.Seconds())
	h.decayedAt = now
	for k, p := range h.demand {
		p.Arrivals *= factor
		p.Tokens *= factor
		if now-h.lastRequested[k] > recentRequestTime {
			delete(h.demand, k)
			delete(h.lastRequested, k)
		}
	}
}

// Snapshot returns the history to send to a new lease holder.
func (h *History) Snapshot(now time.Duration) HistorySnapshot {
	h.decay(now)
	var n HistorySnapshot
	if h.firstArrival > 0 {
		n.SinceMS = (now - h.firstArrival).Milliseconds()
	}
	for k, p := range h.demand {
		demand := *p
		demand.AgeMS = (now - h.lastRequested[k]).Milliseconds()
		n.Models = append(n.Models, demand)
	}
	return n
}

// Backfill adds the history of an entry from before this lease holder received
// its demand. since is the time since the entry's first arrival; if it is 0,
// nothing is added.
func (d *Demands) Backfill(history []PastDemand, since, now time.Duration) {
	if since <= 0 {
		return
	}
	d.backfilled = max(d.backfilled, since)
	if first := now - since; d.firstArrival == 0 || first < d.firstArrival {
		d.firstArrival = first
	}
	for _, p := range history {
		e := d.estimate(p.Model)
		e.rate.slow += p.Arrivals / slowTimeConstant.Seconds()
		e.work.slow += (p.Tokens + p.Arrivals*requestOverheadTokens) / slowTimeConstant.Seconds()
		e.requested = max(e.requested, now-time.Duration(p.AgeMS)*time.Millisecond)
	}
}
