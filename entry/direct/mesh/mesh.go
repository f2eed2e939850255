// Package mesh connects the entries of a deployment whose backend servers are
// called directly: each pair of entries shares one control connection. Over it
// they exchange the list of entries, the load that each puts on the backend
// servers, the newest versions of a few shared documents such as the
// configuration, and RPCs.
//
// Entries discover each other through rows of the table service, seed addresses
// in the settings and gossip from connected entries; any one of these is enough.
// A connection can stop carrying data without being closed, so entries send
// heartbeats and drop a peer after a second of silence, or later if the peer
// announced a longer heartbeat interval.
//
// The entries have no shared secret: everything they share comes from the
// platform's store, and an entry that cannot reach the store must still be able
// to join through its peers. Control connections are therefore unauthenticated
// (rpc.Local.Open), which assumes that only the deployment's VMs can reach the
// control addresses. With Options.Key, connections require the deployment key.
package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/rpc"
	"peridotchute.example/store"
)

// Options configures a Mesh.
type Options struct {
	Self   Identity    // Address is reachable by peers; an empty Incarnation is generated
	Listen string      // address to listen on; empty means Self.Address
	Key    string      // deployment key; may be empty
	Seeds  []string    // control addresses at which entries may be running
	Table  store.Table // stores the rows of the entries; may be nil
	Log    logrus.FieldLogger
	// OnDocument is called with each newer document received from a peer. Calls
	// for the same kind do not overlap. It may call Offer.
	OnDocument func(Document)
	// OnConnect is called with the name of each entry to which a connection was opened,
	// after the entry can be sent messages. It must not block. It may be nil.
	OnConnect func(peer string)
	// PullDelay is, by kind, the delay between a peer's announcement of a newer
	// document and the request for it. It avoids transfers between entries that
	// usually get the document from its source at about the same time.
	PullDelay map[string]time.Duration
	// Clock measures the ages of documents. It must advance while the machine is suspended;
	// nil means clock.Boottime.
	Clock func() time.Duration
}

// Mesh manages an entry's connections to the other entries. It is safe for
// concurrent use.
type Mesh struct {
	opts     Options
	self     Identity
	log      logrus.FieldLogger
	local    rpc.Local
	handlers *rpc.Handlers
	server   *rpc.Server
	wake     chan struct{} // signals the scheduler to run a pass
	rowsWake chan struct{} // requests an early read of the rows

	mu             sync.Mutex
	ctx            context.Context // of Run
	stopped        bool
	goroutines     sync.WaitGroup // goroutines of links, dials and document pulls
	members        members
	seeds          map[string]*dialTarget // by address
	dialing        map[string]bool        // by address
	links          map[string]*link       // by peer name
	load           []ServerLoad           // of this entry
	loadVersion    uint64                 // incremented when load changes
	totals         map[string]Totals      // load of the peers, by server ID
	documents      map[string]document    // by kind
	pulling        map[string]bool        // by kind
	changes        uint64                 // counts state changes that may have to be sent to peers
	urgent         bool                   // an offered document has not been announced yet
	active         bool                   // the last pass found changes, so the next one follows soon
	checkedChanges uint64                 // value of changes at the last pass
	nextPass       time.Time              // planned time of the next pass
	counters       counters
	loadLinks      int       // peers with which load is exchanged, at the last pass
	aggregator     string    // name of the entry that this one tells its load to; its own if it tells all
	rowsRead       bool      // all rows have been read once
	rowsReadAt     time.Time // when the last complete read of the rows began
	former         formerRow // whether an earlier process of this entry left its row
	firstConnected time.Time // of any peer
}

// counters are cumulative since the start.
type counters struct {
	updates, documents, rowCalls uint64
}

// New returns an unconnected mesh. Methods must be registered with Handle or
// HandleBroadcast before Listen.
func New(opts Options) *Mesh {
	if opts.Self.Incarnation == "" {
		opts.Self.Incarnation = uuid.NewString()
	}
	if opts.Listen == "" {
		opts.Listen = opts.Self.Address
	}
	if opts.Clock == nil {
		opts.Clock = clock.Boottime
	}
	m := &Mesh{
		opts: opts, self: opts.Self, log: opts.Log, handlers: rpc.NewHandlers(),
		local:     rpc.Local{Identity: opts.Self.rpc(), Key: opts.Key, Open: opts.Key == "", DeadPeerTimeout: silenceTimeout},
		wake:      make(chan struct{}, 1),
		rowsWake:  make(chan struct{}, 1),
		members:   newMembers(opts.Self.Name),
		seeds:     map[string]*dialTarget{},
		dialing:   map[string]bool{},
		links:     map[string]*link{},
		totals:    map[string]Totals{},
		documents: map[string]document{},
		pulling:   map[string]bool{},

		aggregator: opts.Self.Name,
	}
	for _, address := range opts.Seeds {
		if address != opts.Self.Address {
			m.seeds[address] = newSeedTarget(address)
		}
	}
	m.local.OnError = m.connectionError
	rpc.HandleInOrder(m.handlers, methodUpdate, m.handleUpdate)
	rpc.Handle(m.handlers, methodDocument, m.handleDocumentQuery)
	return m
}

// Listen starts accepting connections from peers. Connections are rejected
// until Run is called.
func (m *Mesh) Listen() error {
	server := rpc.NewServer(m.local, m.handlers, func(p *rpc.Peer) { m.admit(p, false) })
	if err := server.Start(m.opts.Listen); err != nil {
		return err
	}
	m.server = server
	return nil
}

// Run maintains the connections until ctx ends. It calls Listen if the caller
// has not done so.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	if m.server == nil {
		if err := m.Listen(); err != nil {
			return err
		}
	}
	var loops sync.WaitGroup
	loops.Go(func() { m.maintainRows(ctx) })
	loops.Go(func() { m.schedule(ctx) })
	loops.Wait()
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	err := m.server.Stop()
	m.goroutines.Wait()
	return err
}

// connectionError logs the reason for a connection failure.
func (m *Mesh) connectionError(address, reason string) {
	event.Log(m.log, event.EntryConnectionError, event.Peer(address), event.Reason(reason))
}

// markChanged records a change that may have to be sent to peers. The caller
// holds mu.
func (m *Mesh) markChanged() {
	m.changes++
	if !m.active || m.urgent {
		m.wakeScheduler()
	}
}

// wakeScheduler triggers a pass of the scheduler.
func (m *Mesh) wakeScheduler() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// PeerState describes another entry as seen by this one.
type PeerState struct {
	Identity
	Connected       bool
	SinceLastUpdate time.Duration // zero if not connected
	DisconnectedFor time.Duration // zero if connected
	Listed          bool          // has a row in the table
}

// Peers returns all other known entries, ordered by name.
func (m *Mesh) Peers() []PeerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	out := make([]PeerState, 0, len(m.members.all))
	for _, name := range m.members.names() {
		other := m.members.all[name]
		p := PeerState{Identity: other.id, Listed: other.listed}
		if l := m.links[name]; l != nil {
			p.Connected, p.SinceLastUpdate = true, now.Sub(l.lastReceived)
		} else {
			p.DisconnectedFor = now.Sub(other.disconnectedAt)
		}
		out = append(out, p)
	}
	return out
}

// entriesKnownAfter is how long after the first connection the peers' announcements
// name all entries, in case the rows cannot be read.
const entriesKnownAfter = 2 * gossipInterval

// Entries returns the number of entries of the deployment, this one and those out of reach
// included, and the rank of this one's name among them, from 0; n is 0 while it is unknown.
// Entries that this one cannot reach count until rememberFor after they were dropped.
func (m *Mesh) Entries() (n, rank int) { return m.entriesAt(time.Now()) }

func (m *Mesh) entriesAt(now time.Time) (n, rank int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	announced := !m.firstConnected.IsZero() && now.Sub(m.firstConnected) >= entriesKnownAfter
	if !m.rowsRead && !announced {
		return 0, 0
	}
	others := m.members.counted(now)
	for _, name := range others {
		if name < m.self.Name {
			rank++
		}
	}
	return len(others) + 1, rank
}

// ConnectedCount returns the number of connected peers.
func (m *Mesh) ConnectedCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// AnyConnected reports whether a connected peer matches.
func (m *Mesh) AnyConnected(match func(Identity) bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if match(l.id) {
			return true
		}
	}
	return false
}

// ConnectedIdentities returns the connected peers, in no order.
func (m *Mesh) ConnectedIdentities() []Identity {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Identity, 0, len(m.links))
	for _, l := range m.links {
		out = append(out, l.id)
	}
	return out
}

// Connected returns the sorted names of the connected peers.
func (m *Mesh) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.connectedPeers()
}
