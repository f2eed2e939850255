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
	seen  map[pastKey]*Past
	asked map[pastKey]time.Duration
	first time.Duration // arrival; 0 before
	faded time.Duration
}

type pastKey struct{ service, model string }

// NewHistory returns an empty history.
func NewHistory() *History {
	return &History{seen: map[pastKey]*Past{}, asked: map[pastKey]time.Duration{}}
}

// Add takes in what was seen since the last call.
func (h *History) Add(seen []ModelDemand, now time.Duration) {
	h.fade(now)
	for _, m := range seen {
		if m.Arrivals == 0 {
			continue
		}
		k := pastKey{m.Service, m.Model}
		p := h.seen[k]
		if p == nil {
			p = &Past{Service: m.Service, Model: m.Model}
			h.seen[k] = p
		}
		p.Arrivals += float64(m.Arrivals)
		p.Tokens += float64(m.PrefillTokens)
		h.asked[k] = now
		if h.first == 0 {
			h.first = now
		}
	}
}

// fade lets what was seen count less, and forgets models that nobody has asked
// for lately.
func (h *History) fade(now time.Duration) {
	factor := math.Exp(-(now - h.faded).Seconds() / fallTime.Seconds())
	h.faded = now
	for k, p := range h.seen {
		p.Arrivals *= factor
		p.Tokens *= factor
		if now-h.asked[k] > askedAge {
			delete(h.seen, k)
			delete(h.asked, k)
		}
	}
}

// Note returns what to tell a new holder.
func (h *History) Note(now time.Duration) PastNote {
	h.fade(now)
	var n PastNote
	if h.first > 0 {
		n.SinceMS = (now - h.first).Milliseconds()
	}
	for k, p := range h.seen {
		told := *p
		told.AskedMS = (now - h.asked[k]).Milliseconds()
		n.Models = append(n.Models, told)
	}
	return n
}

// Backfill takes in what an entry saw before this holder was told of demand.
func (d *Demands) Backfill(seen []Past, since, now time.Duration) {
	if since <= 0 {
		return
	}
	d.before = max(d.before, since)
	if first := now - since; d.first == 0 || first < d.first {
		d.first = first
	}
	for _, p := range seen {
		e := d.estimate(p.Model)
		e.rate.slow += p.Arrivals / fallTime.Seconds()
		e.work.slow += (p.Tokens + p.Arrivals*requestTokens) / fallTime.Seconds()
		e.asked = max(e.asked, now-time.Duration(p.AskedMS)*time.Millisecond)
	}
}
