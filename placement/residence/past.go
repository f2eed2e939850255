package residence

import (
	"math"
	"time"
)

// The lease of the orders changes hands in the middle of a day: each entry keeps
// what it saw lately, so that the next holder need not learn the demand anew.

// Past is what one entry saw of one model. Arrivals of long ago count less, as
// they do in the estimates of the holder.
type Past struct {
	Service  string  `json:"service"`
	Model    string  `json:"model"`
	Arrivals float64 `json:"arrivals"`
	Tokens   float64 `json:"tokens"`   // of their prompts
	AskedMS  int64   `json:"asked_ms"` // since the last of them
}

// PastNote is what an entry tells a new holder once.
type PastNote struct {
	SinceMS int64  `json:"since_ms"` // since its first arrival; 0 when there was none
	Models  []Past `json:"models,omitempty"`
}

// History keeps what one entry sees. It is not safe for concurrent use.
type History struct {
	seen          map[historyKey]*Past
	lastRequested map[historyKey]time.Duration
	firstArrival  time.Duration // arrival; 0 before
	decayedAt     time.Duration
}

type historyKey struct{ service, model string }

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{seen: map[historyKey]*Past{}, lastRequested: map[historyKey]time.Duration{}}
}

// Add takes in what was seen since the last call.
func (h *History) Add(seen []ModelDemand, now time.Duration) {
	h.decay(now)
	for _, m := range seen {
		if m.Arrivals == 0 {
			continue
		}
		k := historyKey{m.Service, m.Model}
		p := h.seen[k]
		if p == nil {
			p = &Past{Service: m.Service, Model: m.Model}
			h.seen[k] = p
		}
		p.Arrivals += float64(m.Arrivals)
		p.Tokens += float64(m.PrefillTokens)
		h.lastRequested[k] = now
		if h.firstArrival == 0 {
			h.firstArrival = now
		}
	}
}

// decay lets what was seen count less, and forgets models that nobody has asked
// for lately.
func (h *History) decay(now time.Duration) {
	factor := math.Exp(-(now - h.decayedAt).Seconds() / slowTimeConstant.Seconds())
	h.decayedAt = now
	for k, p := range h.seen {
		p.Arrivals *= factor
		p.Tokens *= factor
		if now-h.lastRequested[k] > recentRequestTime {
			delete(h.seen, k)
			delete(h.lastRequested, k)
		}
	}
}

// Note returns what to tell a new holder.
func (h *History) Note(now time.Duration) PastNote {
	h.decay(now)
	var n PastNote
	if h.firstArrival > 0 {
		n.SinceMS = (now - h.firstArrival).Milliseconds()
	}
	for k, p := range h.seen {
		told := *p
		told.AskedMS = (now - h.lastRequested[k]).Milliseconds()
		n.Models = append(n.Models, told)
	}
	return n
}

// Backfill takes in what an entry saw before this holder was told of demand.
func (d *Demands) Backfill(seen []Past, since, now time.Duration) {
	if since <= 0 {
		return
	}
	d.backfilled = max(d.backfilled, since)
	if first := now - since; d.firstArrival == 0 || first < d.firstArrival {
		d.firstArrival = first
	}
	for _, p := range seen {
		e := d.estimate(p.Model)
		e.rate.slow += p.Arrivals / slowTimeConstant.Seconds()
		e.work.slow += (p.Tokens + p.Arrivals*requestOverheadTokens) / slowTimeConstant.Seconds()
		e.requested = max(e.requested, now-time.Duration(p.AskedMS)*time.Millisecond)
	}
}
