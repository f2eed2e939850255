package balance

import (
	"slices"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/routing"
)

// offers finds the best server for waiting requests.
func (b *Balancer) offers(p *pool, now time.Time) admission.Offers[*waiting] {
	return func(w *waiting, planned bool) (o admission.Offer, found bool) {
		if p.engine == nil || w.artifact.model == "" {
			o, found = p.offerPlain(w, planned, now)
		} else {
			o, found = b.offerEngine(p, w, planned, now)
		}
		if found && w.server != nil && p.conns > 0 && w.server.inFlight >= max(p.conns/b.entries, 1) {
			o.Full = true
		}
		return o, found
	}
}

func (p *pool) offerPlain(w *waiting, planned bool, now time.Time) (admission.Offer, bool) {
	if p.listPlain(w.exclude, now) == 0 {
		p.listPlain(nil, now)
	}
	m := &p.models
	usual := p.usual.Time()
	choice, err := routing.ChoosePlain(m.plains, routing.PlainRequest{
		Usual:    usual,
		Draw:     w.draw,
		Priority: w.priority,
		Planned:  planned,
	}, now)
	if err != nil {
		return admission.Offer{}, false
	}
	w.server, w.plain = m.chosen[choice.Index], choice
	return admission.OfferPlain(&choice, usual), true
}

// listPlain lists the servers that can be used, without the excluded ones, and
// returns how many there are.
func (p *pool) listPlain(exclude []string, now time.Time) int {
	m := &p.models
	m.plains, m.chosen = m.plains[:0], m.chosen[:0]
	for _, s := range p.order {
		if s.plain == nil || !s.usable(now) || slices.Contains(exclude, s.ID) {
			continue
		}
		m.plains = append(m.plains, s.plain)
		m.chosen = append(m.chosen, s)
	}
	return len(m.plains)
}

func (b *Balancer) offerEngine(p *pool, w *waiting, planned bool, now time.Time) (admission.Offer, bool) {
	w.prompt.Planned = planned
	if p.replicas(w, now, false) > 0 || p.replicas(w.anywhere(), now, false) > 0 {
		p.found(w.artifact)
		choice, err := routing.ChooseEngine(p.models.replicas, p.models.prefixes, &w.prompt, now)
		if err == nil {
			return p.take(w, &choice), true
		}
	}
	if w.artifact.adapter != "" && (p.replicas(w, now, true) > 0 || p.replicas(w.anywhere(), now, true) > 0) {
		choice, err := routing.ChooseEngine(p.models.replicas, p.models.prefixes, &w.prompt, now)
		if err == nil {
			if choice.Load > 0 {
				b.want(p, w.artifact, []string{choice.Server.Name}, now)
			}
			return p.take(w, &choice), true
		}
	}
	return b.offerMissing(p, w, now)
}

func (p *pool) take(w *waiting, choice *routing.EngineChoice) admission.Offer {
	w.server = p.models.chosen[choice.Index]
	w.cached = choice.Cached
	return admission.OfferEngine(choice)
}

// anywhere is the request without the servers that failed it: where no other
// server holds what it asks for, one of them may serve it yet.
func (w *waiting) anywhere() *waiting {
	again := *w
	again.exclude = nil
	return &again
}

// replicas lists the servers that hold what the request asks for, and with
// loadable also those that hold the model and may load the adapter. It returns
// how many of them can be used.
func (p *pool) replicas(w *waiting, now time.Time, loadable bool) int {
	m := &p.models
	m.replicas, m.chosen = m.replicas[:0], m.chosen[:0]
	base := artifact{model: w.artifact.model}
	usable := 0
	for _, s := range p.order {
		if s.engine == nil || slices.Contains(w.exclude, s.ID) || !s.usable(now) {
			continue
		}
		var load time.Duration
		if !s.holds(w.artifact, now) {
			if !loadable || !s.holds(base, now) {
				continue
			}
			load = adapterLoad
		}
		usable++
		s.engine.Usable = true
		m.replicas = append(m.replicas, routing.Replica{Server: s.engine, Load: load})
		m.chosen = append(m.chosen, s)
	}
	return usable
}

// offerMissing has the model loaded and offers the server that will hold it.
func (b *Balancer) offerMissing(p *pool, w *waiting, now time.Time) (admission.Offer, bool) {
	if _, declared := p.engine.Models[w.artifact.model]; !declared {
		return admission.Offer{}, false
	}
	m := b.want(p, artifact{model: w.artifact.model}, nil, now)
	load := m.left(now)
	w.server = nil
	work := w.prompt.Work(0)
	return admission.Offer{Batch: &m.virtual.Batch, Load: load, Wait: load + work, Work: work, Step: tokenTime}, true
}
