// Package mesh connects the entries of a deployment whose backend servers are
// called directly: every entry keeps one control connection to each other.
// Over it they tell each other which entries there are, what each has in
// progress at the backend servers, and the newest of a few shared documents,
// such as the configuration; and they call each other.
//
// Entries find each other by rows of the table service, by the seed addresses
// of the settings and by what connected entries tell, so each of these may be
// missing. Connections may go silent without an end, so every entry sends a
// heartbeat and gives up a peer that it has not heard of for a second.
//
// The entries have no shared secret: what they share they learn from the
// platform's store, and an entry that cannot reach it must still join through
// its peers. So control connections are open (rpc.Local.Open), which supposes
// that only the deployment's VMs reach their control addresses. Options.Key
// closes them where the settings have a deployment key.
package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

// Options configure a Mesh.
type Options struct {
	Self   Identity    // Address is where peers reach it; an empty Incarnation is made up
	Listen string      // address to listen on; empty means Self.Address
	Key    string      // deployment key; empty where the deployment has none
	Seeds  []string    // control addresses of entries that may exist
	Table  store.Table // holds the rows of the entries; nil for none
	Log    logrus.FieldLogger
	// OnDocument is called with each newer document that a peer had, one at a
	// time for each kind. It may call Offer.
	OnDocument func(Document)
	// Patience is how long a document of a kind is awaited from elsewhere, once
	// a peer has announced it. Peers that mostly learn of it at the same moment
	// then do not send it to each other.
	Patience map[string]time.Duration
}

// Mesh is an entry's part in the mesh. It is safe for concurrent use.
type Mesh struct {
	opts     Options
	self     Identity
	log      logrus.FieldLogger
	local    rpc.Local
	handlers *rpc.Handlers
	server   *rpc.Server
	wake     chan struct{} // holds one when the scheduler is to look again
	rowsSoon chan struct{} // holds one when the rows are to be read early

	mu        sync.Mutex
	ctx       context.Context // of Run
	stopped   bool
	writers   sync.WaitGroup // goroutines of links, dials and documents
	members   members
	seeds     map[string]*target // by address
	dialing   map[string]bool    // by address
	links     map[string]*link   // by name of the peer
	load      []ServerLoad
	loads     uint64 // counts changes of load
	totals    map[string]Totals
	documents map[string]document // by kind
	pulling   map[string]bool     // by kind
	news      uint64              // counts changes that peers may have to be told
	urgent    bool                // a document was offered that the peers were not told yet
	active    bool                // there was something to tell lately, so the scheduler looks again soon
	looked    uint64              // news at its last look
	planned   time.Time           // when the scheduler meant to look next
	counts    counts
}

// counts are of the time since the start.
type counts struct {
	updates, documents, rowCalls uint64
}

// New returns a mesh that is not connected yet. Methods are registered with
// Handle before Listen.
func New(opts Options) *Mesh {
	if opts.Self.Incarnation == "" {
		opts.Self.Incarnation = uuid.NewString()
	}
	if opts.Listen == "" {
		opts.Listen = opts.Self.Address
	}
	m := &Mesh{
		opts: opts, self: opts.Self, log: opts.Log, handlers: rpc.NewHandlers(),
		local:     rpc.Local{Identity: opts.Self.rpc(), Key: opts.Key, Open: opts.Key == "", Silence: silenceLimit},
		wake:      make(chan struct{}, 1),
		rowsSoon:  make(chan struct{}, 1),
		members:   newMembers(opts.Self.Name),
		seeds:     map[string]*target{},
		dialing:   map[string]bool{},
		links:     map[string]*link{},
		totals:    map[string]Totals{},
		documents: map[string]document{},
		pulling:   map[string]bool{},
	}
	for _, address := range opts.Seeds {
		if address != opts.Self.Address {
			m.seeds[address] = newSeed(address)
		}
	}
	m.local.OnError = m.connectionError
	rpc.HandleInOrder(m.handlers, methodUpdate, m.receive)
	rpc.Handle(m.handlers, methodDocument, m.deliver)
	return m
}

// Listen begins to accept connections of peers, which are used once Run is called.
func (m *Mesh) Listen() error {
	server := rpc.NewServer(m.local, m.handlers, func(p *rpc.Peer) { m.admit(p, false) })
	if err := server.Start(m.opts.Listen); err != nil {
		return err
	}
	m.server = server
	return nil
}

// Run keeps the connections until ctx ends. It listens, unless Listen was
// called before.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	if m.server == nil {
		if err := m.Listen(); err != nil {
			return err
		}
	}
	var duties sync.WaitGroup
	duties.Go(func() { m.keepRows(ctx) })
	duties.Go(func() { m.schedule(ctx) })
	duties.Wait()
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	err := m.server.Stop()
	m.writers.Wait()
	return err
}

// connectionError logs why a connection broke.
func (m *Mesh) connectionError(address, reason string) {
	event.Log(m.log, event.EntryConnectionError, event.Peer(address), event.Reason(reason))
}

// changed notes that peers may have to be told something. The caller holds mu.
func (m *Mesh) changed() {
	m.news++
	if !m.active || m.urgent {
		m.poke()
	}
}

// poke makes the scheduler look again now.
func (m *Mesh) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// PeerState is what this entry knows of another.
type PeerState struct {
	Identity
	Connected bool
	Silent    time.Duration // since it was heard of, while connected
	Alone     time.Duration // since the connection ended, otherwise
	Listed    bool          // has a row
}

// Peers returns all entries that are known, but for this one, in order of name.
func (m *Mesh) Peers() []PeerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := make([]PeerState, 0, len(m.members.all))
	for _, name := range m.members.names() {
		other := m.members.all[name]
		p := PeerState{Identity: other.id, Listed: other.listed}
		if l := m.links[name]; l != nil {
			p.Connected, p.Silent = true, now.Sub(l.heard)
		} else {
			p.Alone = now.Sub(other.alone)
		}
		out = append(out, p)
	}
	return out
}

// Connected returns the names of the peers that are connected, in order.
func (m *Mesh) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connected()
}
