// Package spread carries accepted configurations between processes: a process
// offers each new version to its peers, and fetches from a peer that has a
// higher one. Changes travel as deltas where the peers know them.
package spread

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/config"
	"peridotchute.example/rpc"
)

const (
	offerTimeout = 3 * time.Second // covers the receiver's fetch
	fetchTimeout = 2 * time.Second
	resyncEvery  = time.Second // between looks at peers that lag behind
	probeEvery   = 5 * time.Second
	maxFailures  = 2 // offers in a row without an answer that end a connection
)

// Spreader keeps this process and its connected peers at the highest version
// that any of them has.
type Spreader struct {
	holder *config.Holder
	log    logrus.FieldLogger
	role   rpc.Role

	fetching sync.Mutex // held during a fetch
	wake     chan struct{}

	mu    sync.Mutex
	peers map[*rpc.Peer]*link
}

// link is what is known of one peer.
type link struct {
	version  uint64    // highest the peer is known to have
	answered time.Time // last word about its version
	busy     bool      // an exchange is in progress
	failures int       // exchanges in a row without an answer
}

// New returns a spreader of what the holder has, and registers its handlers.
func New(role rpc.Role, holder *config.Holder, handlers *rpc.Handlers, log logrus.FieldLogger) *Spreader {
	s := &Spreader{
		holder: holder,
		log:    log,
		role:   role,
		wake:   make(chan struct{}, 1),
		peers:  map[*rpc.Peer]*link{},
	}
	rpc.Handle(handlers, rpc.MethodOffer, s.onOffer)
	rpc.Handle(handlers, rpc.MethodFetch, s.onFetch)
	return s
}

// Add exchanges configurations with the peer until its connection ends.
func (s *Spreader) Add(p *rpc.Peer) {
	s.mu.Lock()
	s.peers[p] = &link{version: p.Version, answered: time.Now()}
	s.mu.Unlock()
	s.signal()
	go func() {
		<-p.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.peers, p)
	}()
}

// Run keeps the peers and this process level until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	ticker := time.NewTicker(resyncEvery)
	defer ticker.Stop()
	for {
		changed := s.holder.Changed()
		s.level(ctx, time.Now())
		select {
		case <-changed:
		case <-s.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// PeerVersion is the version that a peer is known to have.
type PeerVersion struct {
	Name    string   `json:"name"`
	Role    rpc.Role `json:"role"`
	Version uint64   `json:"version"`
}

// Peers returns the connected peers with their versions.
func (s *Spreader) Peers() []PeerVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]PeerVersion, 0, len(s.peers))
	for p, l := range s.peers {
		out = append(out, PeerVersion{Name: p.Identity.Name, Role: p.Identity.Role, Version: l.version})
	}
	return out
}

// DumpState returns the section of the state dump.
func (s *Spreader) DumpState() any { return s.Peers() }

func (s *Spreader) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// level starts an exchange with each peer that is behind, ahead, or has been
// quiet for long.
func (s *Spreader) level(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.holder.Version()
	for p, l := range s.peers {
		switch {
		case l.busy:
		case l.version < own || s.probeDue(p, l, now):
			l.busy = true
			go s.offer(ctx, p, l)
		case l.version > own:
			l.busy = true
			go s.catchUp(ctx, p, l)
		}
	}
}

// probeDue reports whether an entry must show that it is still there. Side
// processes show it by their reports.
func (s *Spreader) probeDue(p *rpc.Peer, l *link, now time.Time) bool {
	return s.role == rpc.RoleEntry && p.Identity.Role == rpc.RoleEntry && now.Sub(l.answered) >= probeEvery
}

func (s *Spreader) offer(ctx context.Context, p *rpc.Peer, l *link) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := rpc.Call[rpc.Offer, rpc.OfferReply](ctx, p, rpc.MethodOffer, rpc.Offer{Version: s.holder.Version()})
	s.finish(p, l, reply.Version, err)
}

func (s *Spreader) catchUp(ctx context.Context, p *rpc.Peer, l *link) {
	s.finish(p, l, l.version, s.fetch(ctx, p))
}

// finish ends an exchange. A connection that gave no answer twice is closed, so
// that it is opened anew.
func (s *Spreader) finish(p *rpc.Peer, l *link, version uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.busy = false
	if err == nil {
		l.failures = 0
		l.answered = time.Now()
		l.version = max(l.version, version)
		return
	}
	event.Log(s.log, event.OfferFailed, event.Peer(p.Identity.Name), event.Err(err))
	l.failures++
	if l.failures >= maxFailures {
		_ = p.Close()
	}
}

// onOffer takes a peer's word that it has a version, and fetches it when it is
// higher than the one held.
func (s *Spreader) onOffer(ctx context.Context, p *rpc.Peer, o rpc.Offer) (rpc.OfferReply, error) {
	s.note(p, o.Version)
	if o.Version > s.holder.Version() {
		if err := s.fetch(ctx, p); err != nil {
			event.Log(s.log, event.ConfigFailed, event.Peer(p.Identity.Name), event.Err(err))
		}
	}
	return rpc.OfferReply{Version: s.holder.Version()}, nil
}

func (s *Spreader) note(p *rpc.Peer, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.peers[p]; ok {
		l.version = max(l.version, version)
		l.answered = time.Now()
	}
}

// onFetch answers with deltas where they are known, else with everything.
func (s *Spreader) onFetch(_ context.Context, _ *rpc.Peer, f rpc.Fetch) (rpc.FetchReply, error) {
	index := s.holder.Current()
	if index == nil || index.Configuration.Version <= f.Since {
		return rpc.FetchReply{}, nil
	}
	if deltas, ok := s.holder.Since(f.Since); ok {
		return rpc.FetchReply{Deltas: deltas}, nil
	}
	return rpc.FetchReply{Configuration: index.Configuration}, nil
}

// fetch takes the peer's configuration. It does nothing while another fetch is
// in progress; the peers are levelled again afterwards.
func (s *Spreader) fetch(ctx context.Context, p *rpc.Peer) error {
	if !s.fetching.TryLock() {
		return nil
	}
	defer s.fetching.Unlock()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := rpc.Call[rpc.Fetch, rpc.FetchReply](ctx, p, rpc.MethodFetch, rpc.Fetch{Since: s.holder.Version()})
	if err != nil {
		return err
	}
	c, err := s.result(reply)
	if err != nil || c == nil {
		return err
	}
	if s.holder.Offer(c) {
		event.Log(s.log, event.ConfigInForce, event.Peer(p.Identity.Name), event.Count(int64(c.Version)))
	}
	return nil
}

// result returns the configuration that a reply leads to, nil for none.
func (s *Spreader) result(reply rpc.FetchReply) (*config.Configuration, error) {
	if reply.Configuration != nil || len(reply.Deltas) == 0 {
		return reply.Configuration, nil
	}
	index := s.holder.Current()
	if index == nil || index.Configuration.Version != reply.Deltas[0].From {
		return nil, nil // another version came into force meanwhile
	}
	c := index.Configuration
	for _, d := range reply.Deltas {
		next, err := d.Apply(c)
		if err != nil {
			return nil, err
		}
		c = next
	}
	return c, nil
}
