package balance

import (
	"iter"
	"slices"
	"time"

	"peridotchute.example/admission"
	"peridotchute.example/fleet"
	"peridotchute.example/membership"
)

// maxEarlyLimits is the number of limits kept of servers that are not registered.
const maxEarlyLimits = 1024

// ServerLimit is what is known of the rate of requests that one incarnation of a server
// takes from all entries together, as entries exchange it.
type ServerLimit struct {
	Server    string  `json:"server"` // ID
	Born      int64   `json:"born"`
	Limited   bool    `json:"limited"`
	PerSecond float64 `json:"per_second"`
}

// SetPeers sets the names of the other entries. All entries share the servers'
// connections, and the rates of servers that limit theirs.
func (b *Balancer) SetPeers(peers []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Equal(peers, b.peers) {
		return
	}
	b.peers = slices.Clone(peers)
	now := time.Now()
	for s := range b.limitedServers() {
		s.limit.Set(s.limit.PerSecond(), b.part(s, s.limit.PerSecond()), now)
	}
}

// limitedServers returns the servers that limit their rate. The caller holds mu.
func (b *Balancer) limitedServers() iter.Seq[*server] {
	return func(yield func(*server) bool) {
		for _, p := range b.pools {
			for _, s := range p.order {
				if s.limit.Limited() && !yield(s) {
					return
				}
			}
		}
	}
}

// part returns this entry's part of the rate of a limited server. The entries that share it
// are chosen by a hash. The caller holds mu.
func (b *Balancer) part(s *server, perSecond float64) float64 {
	entries := append([]string{b.opts.Name}, b.peers...)
	sharers := admission.LimitSharers(perSecond, len(entries))
	if !slices.Contains(membership.Rendezvous(s.ID, entries, sharers), b.opts.Name) {
		return 0
	}
	return 1 / float64(sharers)
}

// Limits returns the limits of all servers that have one.
func (b *Balancer) Limits() []ServerLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServerLimit
	for s := range b.limitedServers() {
		out = append(out, s.limitState())
	}
	return out
}

// TakeLimitChanges returns the limits that answers to this entry have changed since the
// previous call.
func (b *Balancer) TakeLimitChanges() []ServerLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServerLimit
	for _, p := range b.pools {
		for _, s := range p.order {
			if s.limitChanged {
				s.limitChanged = false
				out = append(out, s.limitState())
			}
		}
	}
	return out
}

// ApplyLimits applies the limits that another entry has learned. It returns those that
// are new here.
func (b *Balancer) ApplyLimits(limits []ServerLimit) (changed []ServerLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, l := range limits {
		if p, s := b.find(l.Server); s == nil || s.Born != l.Born {
			b.keepEarly(l)
		} else if b.setLimit(p, s, l, time.Now()) {
			changed = append(changed, l)
		}
	}
	return changed
}

// find returns the server with the ID and its pool, or nil.
func (b *Balancer) find(id string) (*pool, *server) {
	for _, p := range b.pools {
		if s := p.servers[id]; s != nil {
			return p, s
		}
	}
	return nil, nil
}

// keepEarly keeps a limit until the registration of its server has been read. The caller
// holds mu.
func (b *Balancer) keepEarly(l ServerLimit) {
	if len(b.earlyLimits) >= maxEarlyLimits {
		clear(b.earlyLimits) // answers of the servers name them again
	}
	b.earlyLimits[l.Server] = l
}

// applyEarly applies a limit that was learned before the server's registration. The caller
// holds mu.
func (b *Balancer) applyEarly(s *server) {
	l, ok := b.earlyLimits[s.ID]
	if !ok || l.Born != s.Born {
		return
	}
	delete(b.earlyLimits, s.ID)
	b.storeLimit(s, l, time.Now())
}

// setLimit applies a limit to a server and reports whether it has changed. The caller holds
// mu.
func (b *Balancer) setLimit(p *pool, s *server, l ServerLimit, now time.Time) bool {
	if !b.storeLimit(s, l, now) {
		return false
	}
	p.queue.ServersLost()
	b.dispatch(p)
	return true
}

func (b *Balancer) storeLimit(s *server, l ServerLimit, now time.Time) (changed bool) {
	if l.Limited {
		s.limitNamed = now
	}
	if l == s.limitState() {
		return false
	}
	if l.Limited {
		s.limit.Set(l.PerSecond, b.part(s, l.PerSecond), now)
	} else {
		s.limit.Lift()
	}
	return true
}

func (s *server) limitState() ServerLimit {
	return ServerLimit{Server: s.ID, Born: s.Born, Limited: s.limit.Limited(), PerSecond: s.limit.PerSecond()}
}

// Named records what the server's answer says of its limit. It returns the limit and whether
// it has changed. An answer without a limit lifts it only if its request was sent after the
// limit was last named: answers on different connections may overtake each other.
func (t *Ticket) Named(o fleet.Outcome) (l ServerLimit, changed bool) {
	if o.Misdirected {
		return ServerLimit{}, false // another server's answer
	}
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	s := t.s
	if !o.NamesLimit && (!s.limit.Limited() || !t.sentAt.After(s.limitNamed)) {
		return ServerLimit{}, false
	}
	l = ServerLimit{Server: s.ID, Born: s.Born, Limited: o.NamesLimit}
	if o.NamesLimit {
		l.PerSecond = o.RateLimit
	}
	if !t.b.setLimit(t.p, s, l, time.Now()) {
		return ServerLimit{}, false
	}
	s.limitChanged = true
	return l, true
}

// wakeLimited makes the queue look at servers that may get a request again. The caller
// holds mu.
func (p *pool) wakeLimited(now time.Time) (woken bool) {
	for _, s := range p.order {
		allows := s.limit.Allows(now)
		woken = woken || allows && s.limitSpent
		s.limitSpent = !allows
	}
	return woken
}

// Limit returns the rate of requests that the server with the ID takes from all entries
// together, and whether it limits that.
func (b *Balancer) Limit(id string) (perSecond float64, limited bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, s := b.find(id)
	if s == nil {
		return 0, false
	}
	return s.limit.PerSecond(), s.limit.Limited()
}

// limitWait returns the time until the limits of the servers that have loaded the request's
// artifact allow it, after the requests that wait for the artifact already if it is new. It
// returns false if no server has loaded it or this entry has no part of their limits.
func (p *pool) limitWait(w *waiting, now time.Time) (wait time.Duration, ok bool) {
	rate := 0.0
	for _, s := range p.order {
		if s.engine == nil || s.Draining || now.Before(s.downUntil) || !w.mayGet(s) || !s.hasLoaded(w.artifact, now) {
			continue
		}
		if until, has := s.limit.Until(now); has {
			rate += s.limit.Rate()
			if !ok || until < wait {
				wait, ok = until, true
			}
		}
	}
	if _, queued := p.waiting[w]; ok && !queued && rate > 0 {
		wait += time.Duration(float64(p.queued[w.artifact]) / rate * float64(time.Second))
	}
	return wait, ok
}

// LimitedServers returns the number of servers that limit the rate of requests.
func (b *Balancer) LimitedServers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for range b.limitedServers() {
		n++
	}
	return n
}
