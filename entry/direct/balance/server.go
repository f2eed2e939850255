package balance

import (
	"cmp"
	"slices"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/entry/direct/orders"
	"peridotchute.example/fleet"
	"peridotchute.example/routing"
)

// artifact identifies a model or one of its adapters.
type artifact struct {
	model   string
	adapter string // empty for the model itself
}

// server is the state that this entry keeps about one backend server.
type server struct {
	fleet.Server
	engine *routing.EngineServer // nil for plain services
	plain  *routing.PlainServer  // nil for model services

	change         *orders.ServerUpdate // latest loaded models announced by the lease holder
	changeAt       time.Time
	ensuredAt      map[artifact]time.Time // when Ensure reported the artifact as resident
	notLoadedUntil map[artifact]time.Time // after a declined request; the artifact counts as not loaded until then

	unsettled bool // its software version is too new to begin resumable streams

	running       map[artifact]int
	inFlight      int
	lastReceived  time.Time // when data was last received from the server
	awaitingSince time.Time // since when an answer is pending
	downUntil     time.Time // gets no requests until then
	replaced      bool      // downUntil is set because another process answers at the address
	failedDials   int       // consecutive
	peers         peerLoad

	limit        admission.ServerLimit // this entry's part of the rate that the server takes
	limitNamed   time.Time             // when an answer or another entry last named the limit
	limitChanged bool                  // an answer to this entry has changed the limit since TakeLimitChanges
	limitSpent   bool                  // the limit allowed no request at the last wakeLimited
}

const (
	crossRegionRTT = 24 * time.Millisecond // round trip to another region
	crossZoneRTT   = 2 * time.Millisecond  // round trip to another availability zone

	// changeTTL is how long a change that arrived ahead of the registrations
	// takes precedence over them: servers renew theirs about every second.
	changeTTL = 2500 * time.Millisecond

	notLoadedTTL = 700 * time.Millisecond // after the server declined for lack of the model; it may have loaded it by then
	declinedTTL  = 150 * time.Millisecond // after the server declined because it was full or had an order for the model

	// replacedTTL is the time after an answer of another process at the server's address, or
	// until the registration changes. The process of the registration has ended by then, or
	// the answer was wrong.
	replacedTTL = 10 * time.Second

	minDownTime = 700 * time.Millisecond // pause after the first failure to reach a server; doubles with each consecutive one
	maxDownTime = 4 * time.Second
)

// sync applies a view to the servers of a pool. It reports whether a server was
// removed or began to drain.
func (b *Balancer) sync(p *pool, v *fleet.View) (lost bool) {
	seen := map[string]bool{}
	for i := range v.Servers {
		s := &v.Servers[i]
		if s.Service != p.name {
			continue
		}
		seen[s.ID] = true
		known := p.servers[s.ID]
		if known == nil || known.Address != s.Address || known.isModelServer() != (p.engine != nil) {
			if known != nil {
				b.forget(known)
			}
			known = b.newServer(p, s)
			p.servers[s.ID] = known
		}
		lost = known.applyRegistration(s, p.engine) || lost
		known.unsettled = b.isUnsettled(p, s.Software)
		b.applyEarly(known)
	}
	for id, s := range p.servers {
		if !seen[id] {
			b.forget(s)
			delete(p.servers, id)
			lost = true
		}
	}
	p.order = p.order[:0]
	for _, s := range p.servers {
		p.order = append(p.order, s)
	}
	slices.SortFunc(p.order, func(x, y *server) int { return cmp.Compare(x.ID, y.ID) })
	return lost
}

// forget discards the state of a server, but for a limit: the registration of the same
// process may come back.
func (b *Balancer) forget(s *server) {
	s.clearCachedPrefixes()
	if s.limit.Limited() {
		b.keepEarly(s.limitState())
	}
}

func (b *Balancer) newServer(p *pool, registered *fleet.Server) *server {
	s := &server{
		Server:         *registered,
		ensuredAt:      map[artifact]time.Time{},
		notLoadedUntil: map[artifact]time.Time{},
		running:        map[artifact]int{},
	}
	trip := b.roundTrip(registered.Zone)
	if p.engine == nil {
		s.plain = routing.NewPlainServer(s.ID, s.Slots)
		s.plain.RoundTrip = trip
		return s
	}
	s.engine = routing.NewEngineServer(s.ID, p.engine.Slots, p.engine.KVTokens, p.models.prefixes.NewCache())
	s.engine.RoundTrip = trip
	return s
}

func (b *Balancer) roundTrip(zone string) time.Duration {
	switch {
	case b.opts.Regions[zone] != b.opts.Regions[b.opts.Zone]:
		return crossRegionRTT
	case zone != b.opts.Zone:
		return crossZoneRTT
	}
	return 0
}

// applyRegistration stores a new registration of the server. It reports whether
// the server began to drain.
func (s *server) applyRegistration(r *fleet.Server, engine *fleet.Engine) (lost bool) {
	lost = r.Draining && !s.Draining
	if r.Born != s.Born {
		s.reset()
	}
	if s.replaced && (r.Born != s.Born || r.Registration != s.Registration) {
		s.replaced, s.downUntil = false, time.Time{}
	}
	s.Server = *r
	if s.engine != nil && engine != nil {
		s.engine.Slots, s.engine.KVTokens = engine.Slots, engine.KVTokens
	}
	if s.plain != nil {
		s.plain.Slots = r.Slots
	}
	return lost
}

// reset discards the loaded artifacts and batches of an earlier incarnation.
func (s *server) reset() {
	s.change = nil
	s.limit.Lift()
	clear(s.ensuredAt)
	clear(s.notLoadedUntil)
	if s.engine != nil {
		s.engine.Restarted()
	}
}

func (s *server) clearCachedPrefixes() {
	if s.engine != nil {
		s.engine.PrefixCache.Clear()
	}
}

// isModelServer reports whether the state is that of a model server.
func (s *server) isModelServer() bool { return s.engine != nil }

// usable reports whether requests may be sent to the server.
func (s *server) usable(now time.Time) bool { return !s.Draining && s.takesRequests(now) }

// takesRequests reports whether the server can be reached and its limit allows a request.
func (s *server) takesRequests(now time.Time) bool {
	return !now.Before(s.downUntil) && s.limit.Allows(now)
}

// residents returns the loaded models and adapters of the server from the
// latest source: an announced change or its registration.
func (s *server) residents(now time.Time) []fleet.Resident {
	t := s.change
	if t == nil || t.Born != s.Born || now.Sub(s.changeAt) > changeTTL {
		return s.Residents
	}
	return t.Residents
}

// hasLoaded reports whether the server is assumed to have loaded the artifact.
func (s *server) hasLoaded(a artifact, now time.Time) bool {
	if until, ok := s.notLoadedUntil[a]; ok {
		if now.Before(until) {
			return false
		}
		delete(s.notLoadedUntil, a)
	}
	if at, ok := s.ensuredAt[a]; ok {
		if now.Sub(at) < changeTTL {
			return true
		}
		delete(s.ensuredAt, a)
	}
	return containsArtifact(s.residents(now), a)
}

func containsArtifact(all []fleet.Resident, a artifact) bool {
	for i := range all {
		if all[i].Model == a.model {
			return a.adapter == "" || slices.Contains(all[i].Adapters, a.adapter)
		}
	}
	return false
}

// ApplyChange applies a change of a server's loaded models that an order caused, ahead
// of its registration. Changes older than the last one applied are ignored.
func (b *Balancer) ApplyChange(id string, c orders.ServerUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		s := p.servers[id]
		if s == nil || (s.change != nil && s.change.Born == c.Born && s.change.OrderSeq > c.OrderSeq) {
			continue
		}
		s.change, s.changeAt = &c, time.Now()
		clear(s.ensuredAt)
		for a := range s.notLoadedUntil {
			if containsArtifact(c.Residents, a) {
				delete(s.notLoadedUntil, a)
			}
		}
		p.queue.ServerChanged("")
		b.dispatch(p)
	}
}

// Down reports whether the server gets no requests for now because it could not
// be reached or its address belongs to another server.
func (b *Balancer) Down(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.pools {
		if s := p.servers[id]; s != nil {
			return time.Now().Before(s.downUntil)
		}
	}
	return false
}
