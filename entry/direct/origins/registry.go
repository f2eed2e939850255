package origins

import (
	"context"
	"slices"
	"sync"
	"time"

	"peridotchute.example/common/clock"
	"peridotchute.example/fleet"
)

const (
	// gatherTime is how long records are gathered before they are copied: shorter
	// than the time to the first event of a stream.
	gatherTime = 20 * time.Millisecond

	// findTimeout bounds the search for a record: a few round trips between regions.
	findTimeout = 300 * time.Millisecond

	// staleAfter is the age of the registrations from which an entry without
	// connected peers cannot know which versions are in use.
	staleAfter = 4 * time.Second
)

// Peers are the other entries. Implementations are safe for concurrent use.
type Peers interface {
	// Connected returns the names of the connected entries.
	Connected() []string
	// Send sends records to an entry without waiting for delivery.
	Send(peer string, began Began)
	// Ask asks an entry for a record.
	Ask(ctx context.Context, peer string, s Stream) (Answer, error)
}

// Began contains records: by service and software version, the streams begun.
type Began map[string]map[string][]string

// Answer says which software version began a stream.
type Answer struct {
	Software string `json:"software,omitempty"`
	Found    bool   `json:"found,omitempty"`
	Several  bool   `json:"several,omitempty"` // several versions of the service are in use
}

// Origin is what is known of the software version that began a stream.
type Origin int

// The values of Origin.
const (
	Unknown    Origin = iota // several versions are in use, and no record was found
	Known                    // the record was found
	AnyVersion               // no record is needed, as one version is in use
)

// String returns the name of the origin in logs and metrics.
func (o Origin) String() string { return [...]string{"unknown", "known", "any"}[o] }

// Finding is the result of a search for the version that began a stream.
type Finding struct {
	Origin     Origin
	Software   string        // the version; for AnyVersion the one in use, or "" if none is
	Source     string        // where the record was found
	Versions   []string      // of the service, in use lately
	Unanswered int           // entries that were asked and did not answer
	ServersAge time.Duration // age of the registrations
}

// Sources of a record besides the names of entries.
const sourceOwn = "own record"

// Registry records and finds the software versions that began streams. It is safe
// for concurrent use.
type Registry struct {
	self    string
	peers   Peers
	started time.Time
	wake    chan struct{} // has one element when Run must copy records

	mu          sync.Mutex
	table       *table
	versions    versions
	pending     map[Stream]string // records to copy
	serversRead time.Time         // when the newest registrations were read
}

// New returns an empty registry of the entry with the name self.
func New(self string, peers Peers) *Registry {
	return &Registry{
		self:     self,
		peers:    peers,
		started:  time.Now(),
		wake:     make(chan struct{}, 1),
		table:    newTable(),
		versions: newVersions(),
		pending:  map[Stream]string{},
	}
}

// Update applies a new view of the deployment. When a second version of a service
// appears, the records of its Streams are copied. Update does not block.
func (g *Registry) Update(v *fleet.View) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.serversRead = v.ServersRead
	for _, service := range g.versions.observe(v.Servers, now) {
		for s, software := range g.table.ofService(service, now) {
			g.copyLater(s, software)
		}
	}
}

// Began records that the stream of the request id is sent to a server of the given
// software version. A later call replaces the record.
func (g *Registry) Began(service, id, software string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := Stream{Service: service, ID: id}
	g.table.put(s, software, now)
	if g.versions.several(service, now) {
		g.copyLater(s, software)
	}
}

// copyLater makes Run copy a record. The caller holds mu.
func (g *Registry) copyLater(s Stream, software string) {
	g.pending[s] = software
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run copies records to other entries until ctx is done.
func (g *Registry) Run(ctx context.Context) {
	for {
		select {
		case <-g.wake:
		case <-ctx.Done():
			return
		}
		_ = clock.Sleep(ctx, gatherTime) // if ctx is done, the last records are still sent
		g.copyPending()
	}
}

func (g *Registry) copyPending() {
	g.mu.Lock()
	pending := g.pending
	g.pending = map[Stream]string{}
	g.mu.Unlock()
	names := g.peers.Connected()
	messages := map[string]Began{}
	for s, software := range pending {
		for _, peer := range holders(s, names, copies) {
			if messages[peer] == nil {
				messages[peer] = Began{}
			}
			messages[peer].add(s, software)
		}
	}
	for peer, m := range messages {
		g.peers.Send(peer, m)
	}
}

func (b Began) add(s Stream, software string) {
	if b[s.Service] == nil {
		b[s.Service] = map[string][]string{}
	}
	b[s.Service][software] = append(b[s.Service][software], s.ID)
}

// Receive stores records of another entry.
func (g *Registry) Receive(b Began) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for service, bySoftware := range b {
		for software, ids := range bySoftware {
			for _, id := range ids {
				g.table.put(Stream{Service: service, ID: id}, software, now)
			}
		}
	}
}

// Lookup answers from this entry's records.
func (g *Registry) Lookup(s Stream) Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	software, found := g.table.get(s, now)
	return Answer{Software: software, Found: found, Several: g.versions.several(s.Service, now)}
}

// State is the registry's part of the state dump.
type State struct {
	Records  int                 `json:"records"`
	Pending  int                 `json:"pending"`  // records to copy to other entries
	Unsaved  int                 `json:"unsaved"`  // records to write to the store
	Versions map[string][]string `json:"versions"` // software versions in use lately, by service
}

// State returns the current state.
func (g *Registry) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := State{Records: len(g.table.records), Pending: len(g.pending), Versions: map[string][]string{}}
	for service := range g.versions.seen {
		s.Versions[service] = g.versions.recent(service, now)
	}
	return s
}

// Find returns which software version began the stream of the request id. It asks
// other entries if this one does not know and several versions are in use, or may be.
// With AnyVersion another version may appear before the stream goes on.
func (g *Registry) Find(ctx context.Context, service, id string) Finding {
	s := Stream{Service: service, ID: id}
	found := g.beginFinding(service)
	if a := g.Lookup(s); a.Found {
		found.Origin, found.Software, found.Source = Known, a.Software, sourceOwn
		return found
	}
	names := g.peers.Connected()
	only, one := g.onlyVersion(service, len(names))
	if one && !g.startedLately() {
		found.Origin, found.Software = AnyVersion, only
		return found
	}
	if id == "" && !one {
		return found
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	a, source, unanswered := g.ask(ctx, s, names)
	found.Unanswered = unanswered
	switch {
	case a.Found:
		found.Origin, found.Software, found.Source = Known, a.Software, source
	case !a.Several && one:
		found.Origin, found.Software = AnyVersion, only
	}
	return found
}

// beginFinding returns a Finding that says only what this entry knows of the service.
func (g *Registry) beginFinding(service string) Finding {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return Finding{Versions: g.versions.recent(service, now), ServersAge: now.Sub(g.serversRead)}
}

// startedLately reports whether streams may be resumed of versions that left before
// this entry started.
func (g *Registry) startedLately() bool { return time.Since(g.started) < recordTTL }

// onlyVersion returns the version of the service that is in use, or "" if none is.
// certain is false if others are or may be in use: an entry that has no peers and old
// registrations may be cut off and cannot know.
func (g *Registry) onlyVersion(service string, peers int) (only string, certain bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if peers == 0 && now.Sub(g.serversRead) > staleAfter {
		return "", false
	}
	recent := g.versions.recent(service, now)
	if len(recent) == 1 {
		return recent[0], true
	}
	return "", len(recent) == 0
}

// ask asks the entries that hold copies of the record. The entry that made the
// record may be among names; it made copies at copies other entries. Without a record,
// the answer has Several set if any entry's has. source is the entry that has the record.
func (g *Registry) ask(ctx context.Context, s Stream, names []string) (found Answer, source string, unanswered int) {
	type reply struct {
		Answer
		peer string
		err  error
	}
	candidates := holders(s, append(slices.Clone(names), g.self), copies+1)
	replies := make(chan reply, len(candidates))
	asked := 0
	for _, peer := range candidates {
		if peer == g.self {
			continue
		}
		asked++
		go func() {
			a, err := g.peers.Ask(ctx, peer, s)
			replies <- reply{a, peer, err}
		}()
	}
	var none Answer
	for range asked {
		r := <-replies
		if r.err != nil {
			unanswered++
			continue
		}
		if r.Found {
			return r.Answer, r.peer, unanswered
		}
		none.Several = none.Several || r.Several
	}
	return none, "", unanswered
}
