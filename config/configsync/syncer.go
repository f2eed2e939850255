// Package configsync distributes accepted configurations between processes. A process
// offers each new version to its peers and fetches newer versions from them. Deltas
// are sent instead of the full configuration if they are available.
package configsync

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
	offerTimeout   = 3 * time.Second // covers the receiver's fetch
	fetchTimeout   = 2 * time.Second
	resyncInterval = time.Second // interval of checks for outdated peers
	probeInterval  = 5 * time.Second
	maxFailures    = 2 // consecutive failed exchanges before a connection is closed
)

// Syncer brings this process and its connected peers to the highest
// configuration version that any of them has.
type Syncer struct {
	holder *config.Holder
	log    logrus.FieldLogger
	role   rpc.Role

	fetching sync.Mutex // held during a fetch
	wake     chan struct{}

	mu    sync.Mutex
	peers map[*rpc.Peer]*peerState
}

// peerState is the known state of one peer.
type peerState struct {
	version    uint64    // highest version the peer is known to have
	lastAnswer time.Time // when the peer last sent its version
	busy       bool      // an exchange is in progress
	failures   int       // consecutive failed exchanges
}

// New returns a Syncer for the configuration in holder and registers its
// handlers.
func New(role rpc.Role, holder *config.Holder, handlers *rpc.Handlers, log logrus.FieldLogger) *Syncer {
	s := &Syncer{
		holder: holder,
		log:    log,
		role:   role,
		wake:   make(chan struct{}, 1),
		peers:  map[*rpc.Peer]*peerState{},
	}
	rpc.Handle(handlers, rpc.MethodOffer, s.onOffer)
	rpc.Handle(handlers, rpc.MethodFetch, s.onFetch)
	return s
}

// Add starts exchanging configurations with the peer. The peer is removed when its
// connection ends.
func (s *Syncer) Add(p *rpc.Peer) {
	s.mu.Lock()
	s.peers[p] = &peerState{version: p.ConfigVersion, lastAnswer: time.Now()}
	s.mu.Unlock()
	s.wakeUp()
	go func() {
		<-p.Done()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.peers, p)
	}()
}

// Run keeps this process and its peers in sync until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	ticker := time.NewTicker(resyncInterval)
	defer ticker.Stop()
	for {
		changed := s.holder.Changed()
		s.syncPeers(ctx, time.Now())
		select {
		case <-changed:
		case <-s.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// PeerVersion is a peer with its known configuration version.
type PeerVersion struct {
	Name    string   `json:"name"`
	Role    rpc.Role `json:"role"`
	Version uint64   `json:"version"`
}

// Peers returns the connected peers with their known versions.
func (s *Syncer) Peers() []PeerVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]PeerVersion, 0, len(s.peers))
	for p, state := range s.peers {
		out = append(out, PeerVersion{Name: p.Identity.Name, Role: p.Identity.Role, Version: state.version})
	}
	return out
}

// DumpState returns the peers for the state dump.
func (s *Syncer) DumpState() any { return s.Peers() }

func (s *Syncer) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// syncPeers starts an exchange with each peer that has another version or is due
// for a probe, unless one is in progress.
func (s *Syncer) syncPeers(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.holder.Version()
	for p, state := range s.peers {
		switch {
		case state.busy:
		case state.version < own || s.probeDue(p, state, now):
			state.busy = true
			go s.offer(ctx, p, state)
		case state.version > own:
			state.busy = true
			go s.catchUp(ctx, p, state)
		}
	}
}

// probeDue reports whether a peer must be probed, which only entries do among
// themselves. Side processes prove that they are alive by their reports.
func (s *Syncer) probeDue(p *rpc.Peer, state *peerState, now time.Time) bool {
	return s.role == rpc.RoleEntry && p.Identity.Role == rpc.RoleEntry && now.Sub(state.lastAnswer) >= probeInterval
}

func (s *Syncer) offer(ctx context.Context, p *rpc.Peer, state *peerState) {
	ctx, cancel := context.WithTimeout(ctx, offerTimeout)
	defer cancel()
	reply, err := rpc.Call[rpc.Offer, rpc.OfferReply](ctx, p, rpc.MethodOffer, rpc.Offer{Version: s.holder.Version()})
	s.finishExchange(p, state, reply.Version, err)
}

func (s *Syncer) catchUp(ctx context.Context, p *rpc.Peer, state *peerState) {
	s.finishExchange(p, state, state.version, s.fetch(ctx, p))
}

// finishExchange records the result of an exchange. It closes the connection after
// maxFailures consecutive failures, so that the peer is redialed.
func (s *Syncer) finishExchange(p *rpc.Peer, state *peerState, version uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state.busy = false
	if err == nil {
		state.failures = 0
		state.lastAnswer = time.Now()
		state.version = max(state.version, version)
		return
	}
	event.Log(s.log, event.OfferFailed, event.Peer(p.Identity.Name), event.Err(err))
	state.failures++
	if state.failures >= maxFailures {
		_ = p.Close()
	}
}

// onOffer records the version that a peer offers and fetches it if it is higher
// than the active one. It replies with the version that is active afterwards.
func (s *Syncer) onOffer(ctx context.Context, p *rpc.Peer, o rpc.Offer) (rpc.OfferReply, error) {
	s.recordVersion(p, o.Version)
	if o.Version > s.holder.Version() {
		if err := s.fetch(ctx, p); err != nil {
			event.Log(s.log, event.ConfigFailed, event.Peer(p.Identity.Name), event.Err(err))
		}
	}
	return rpc.OfferReply{Version: s.holder.Version()}, nil
}

func (s *Syncer) recordVersion(p *rpc.Peer, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, ok := s.peers[p]; ok {
		state.version = max(state.version, version)
		state.lastAnswer = time.Now()
	}
}

// onFetch replies with the deltas since f.Since, or with the full configuration if
// they are no longer available.
func (s *Syncer) onFetch(_ context.Context, _ *rpc.Peer, f rpc.Fetch) (rpc.FetchReply, error) {
	index := s.holder.Current()
	if index == nil || index.Configuration.Version <= f.Since {
		return rpc.FetchReply{}, nil
	}
	if deltas, ok := s.holder.Since(f.Since); ok {
		return rpc.FetchReply{Deltas: deltas}, nil
	}
	return rpc.FetchReply{Configuration: index.Configuration}, nil
}

// fetch gets the peer's configuration and activates it if it is newer. It does
// nothing while another fetch is in progress; syncPeers retries later.
func (s *Syncer) fetch(ctx context.Context, p *rpc.Peer) error {
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
	c, err := s.applyReply(reply)
	if err != nil || c == nil {
		return err
	}
	if s.holder.SetIfNewer(c) {
		event.Log(s.log, event.ConfigActive, event.Peer(p.Identity.Name), event.Count(int64(c.Version)))
	}
	return nil
}

// applyReply returns the configuration in a reply, or the active one with the
// deltas of the reply applied. It returns nil if there is nothing to activate.
func (s *Syncer) applyReply(reply rpc.FetchReply) (*config.Configuration, error) {
	if reply.Configuration != nil || len(reply.Deltas) == 0 {
		return reply.Configuration, nil
	}
	index := s.holder.Current()
	if index == nil || index.Configuration.Version != reply.Deltas[0].From {
		return nil, nil // the active version has changed since the request
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
