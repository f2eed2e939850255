package balance

import (
	"slices"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/routing"
)

// offers returns the function that finds the best server for a queued request.
func (b *Balancer) offers(p *pool, now time.Time) admission.OfferFunc[*waiting] {
	return func(w *waiting, planned bool) (o admission.Offer, found bool) {
		if p.engine == nil || w.artifact.model == "" {
			o, found = b.offerPlain(p, w, planned, now)
		} else {
			o, found = b.offerEngine(p, w, planned, now)
		}
		if found && w.server != nil && p.maxConns > 0 && w.server.inFlight >= max(p.maxConns/(1+len(b.peers)), 1) {
			o.Full = true
		}
		return o, found
	}
}

func (b *Balancer) offerPlain(p *pool, w *waiting, planned bool, now time.Time) (admission.Offer, bool) {
	if b.listPlain(p, w, w.exclude, now) == 0 && !w.strict && b.listPlain(p, w, nil, now) == 0 {
		w.lastResort = true
		b.listPlain(p, w, nil, now)
		w.lastResort = false
	}
	m := &p.models
	serviceTime := p.serviceTime.Value()
	choice, err := routing.ChoosePlain(m.plains, routing.PlainRequest{
		ServiceTime: serviceTime,
		Draw:        w.draw,
		Priority:    w.priority,
		Planned:     planned,
	}, now)
	if err != nil {
		return admission.Offer{}, false
	}
	w.server, w.plain = m.chosen[choice.Index], choice
	return admission.PlainOffer(&choice, serviceTime), true
}

// listPlain fills plains and chosen with the candidates for the request, except the
// excluded ones, and returns their number.
func (b *Balancer) listPlain(p *pool, w *waiting, exclude []string, now time.Time) int {
	m := &p.models
	m.plains, m.chosen = m.plains[:0], m.chosen[:0]
	for _, s := range p.order {
		if s.plain == nil || slices.Contains(exclude, s.ID) || !b.candidate(s, w, now) {
			continue
		}
		m.plains = append(m.plains, s.plain)
		m.chosen = append(m.chosen, s)
	}
	return len(m.plains)
}

func (b *Balancer) offerEngine(p *pool, w *waiting, planned bool, now time.Time) (admission.Offer, bool) {
	w.prompt.Planned = planned
	if b.replicas(p, w, now, false) > 0 || b.replicas(p, w.withoutExclusions(), now, false) > 0 {
		p.clearLoading(loadKey{w.artifact, w.software})
		choice, err := routing.ChooseEngine(p.models.replicas, p.models.prefixes, &w.prompt, now)
		if err == nil {
			return p.acceptChoice(w, &choice), true
		}
	}
	if w.artifact.adapter != "" && (b.replicas(p, w, now, true) > 0 || b.replicas(p, w.withoutExclusions(), now, true) > 0) {
		choice, err := routing.ChooseEngine(p.models.replicas, p.models.prefixes, &w.prompt, now)
		if err == nil {
			if choice.Load > 0 {
				b.startLoad(p, loadKey{w.artifact, w.software}, []string{choice.Server.Name}, now)
			}
			return p.acceptChoice(w, &choice), true
		}
	}
	if w.strict {
		return admission.Offer{}, false
	}
	if o, found := b.offerLeaving(p, w, now); found {
		b.loadMissing(p, w, now)
		return o, true
	}
	return b.offerMissing(p, w, now)
}

// allFit reports whether all servers that may get requests fit the request, now or once
// their versions have settled.
func (p *pool) allFit(w *waiting) bool {
	if w.software == "" {
		return true
	}
	for _, s := range p.order {
		if !s.Draining && !w.fits(s) {
			return false
		}
	}
	return true
}

// mayGet reports whether the server fits the request and has not refused its connection.
func (w *waiting) mayGet(s *server) bool { return w.fits(s) && !slices.Contains(w.gone, s.ID) }

// fits reports whether the server has a software version that may get the request.
func (w *waiting) fits(s *server) bool {
	if w.software != "" {
		return w.software == s.Software
	}
	return !w.resumable || !s.unsettled
}

// holdAt returns for how long the first event of a server would be held back.
func (w *waiting) holdAt(s *server) time.Duration {
	if w.preferred == "" || w.preferred == s.Software {
		return 0
	}
	return w.hold
}

func (p *pool) acceptChoice(w *waiting, choice *routing.EngineChoice) admission.Offer {
	w.server = p.models.chosen[choice.Index]
	w.cached = choice.Cached
	o := admission.EngineOffer(choice)
	o.Step = p.models.streamTime.Scale(o.Step)
	return o
}

// withoutExclusions returns a copy of the request that may also go to servers
// that failed it, unless it is strict. It applies when no other server has loaded
// its model or adapter.
func (w *waiting) withoutExclusions() *waiting {
	if w.strict {
		return w
	}
	copied := *w
	copied.exclude = nil
	return &copied
}

// replicas fills replicas and chosen with the candidates that have loaded the request's
// artifact and returns their number. With loadable it includes servers that have loaded
// the model and can load the adapter.
func (b *Balancer) replicas(p *pool, w *waiting, now time.Time, loadable bool) int {
	m := &p.models
	m.replicas, m.chosen = m.replicas[:0], m.chosen[:0]
	base := artifact{model: w.artifact.model}
	usable := 0
	for _, s := range p.order {
		if s.engine == nil || slices.Contains(w.exclude, s.ID) || !b.candidate(s, w, now) {
			continue
		}
		var load time.Duration
		if !s.hasLoaded(w.artifact, now) {
			if !loadable || !s.hasLoaded(base, now) {
				continue
			}
			load = adapterLoadTime
		}
		usable++
		s.engine.Usable = true
		m.replicas = append(m.replicas, routing.Replica{Server: s.engine, Load: load, Hold: w.holdAt(s)})
		m.chosen = append(m.chosen, s)
	}
	return usable
}

// offerMissing starts the load of the model and returns an offer for the server
// that will load it.
func (b *Balancer) offerMissing(p *pool, w *waiting, now time.Time) (admission.Offer, bool) {
	m := b.loadMissing(p, w, now)
	if m == nil || now.Before(m.noRoomUntil) {
		return admission.Offer{}, false
	}
	load := m.remaining(now)
	if wait, loaded := p.limitWait(w, now); loaded {
		load = wait
	}
	w.server = nil
	load = max(load, minSleep) // an offer without a server is never ready
	work := w.prompt.Work(0)
	return admission.Offer{Batch: &m.virtual.Batch, Load: load, Wait: load + work, Work: work, Step: p.models.streamTime.Scale(timePerToken)}, true
}

// loadMissing starts the load of the request's model. It returns nil if the model is not
// declared or no server that fits the request can load it.
func (b *Balancer) loadMissing(p *pool, w *waiting, now time.Time) *pendingLoad {
	_, declared := p.engine.Models[w.artifact.model]
	software, loadable := p.loadSoftware(w)
	if !declared || !loadable {
		return nil
	}
	return b.startLoad(p, loadKey{artifact{model: w.artifact.model}, software}, nil, now)
}
