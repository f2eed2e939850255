package origins

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/singleflight"

	"peridotchute.example/fleet"
	"peridotchute.example/store"
)

const (
	// freshFor is the age up to which a list of servers has each version that gets streams.
	// The list is read about every 600 ms.
	freshFor = 2 * time.Second

	// settleTime is the time from the announcement of a version until it gets streams. The
	// excess over freshFor covers clocks that run at slightly different speeds.
	settleTime = freshFor + 500*time.Millisecond

	// announceTimeout is how long a version that cannot be announced gets no streams: with
	// the store away, servers that are needed must not stay unused.
	announceTimeout = 5 * time.Second
)

// Peers are the other entries. Implementations are safe for concurrent use.
type Peers interface {
	// Connected returns the names of the connected entries.
	Connected() []string
	// Send sends records to an entry without waiting for delivery.
	Send(peer string, m Records)
	// SendUsages sends the stages of versions to an entry without waiting for delivery.
	SendUsages(peer string, u []Usage)
	// SendProgress sends this entry's progress with the splits to an entry without waiting for
	// delivery.
	SendProgress(peer string, p Progress)
	// Members returns the other entries of the deployment, those out of reach included, and when
	// the store's list of them was last read, zero if it was not.
	Members() (names []string, read time.Time)
	// RefreshMembers has the list read soon.
	RefreshMembers()
	// Restarted reports whether an earlier process of this entry may have served less than a
	// minute before this one.
	Restarted() bool
	// Ask asks an entry for a record.
	Ask(ctx context.Context, peer string, s Stream) (Answer, error)
}

// Answer says which software version began a stream.
type Answer struct {
	Software string `json:"software,omitempty"`
	Revision int    `json:"revision,omitempty"`
	Found    bool   `json:"found,omitempty"`
	Maker    string `json:"maker,omitempty"`   // entry that made the record; empty for the one that answers, whose record is the newest
	Several  bool   `json:"several,omitempty"` // several versions of the service are in use
}

// Options configures a Registry.
type Options struct {
	Self  string // name of this entry
	Peers Peers
	Table store.Partitioned
	Log   logrus.FieldLogger

	// OnUnsettled is called with the versions of each service that may not get streams yet,
	// when they change. It must not block.
	OnUnsettled func(map[string][]string)
}

// Registry records and finds the software versions that began streams. It is safe
// for concurrent use.
type Registry struct {
	opts         Options
	started      time.Time
	copyWake     chan struct{} // has one element when Run must copy records
	saveWake     chan struct{} // has one element when RunRows must write records
	announceWake chan struct{} // has one element when RunUsages must look at the versions
	loads        singleflight.Group
	writer       rowWriter // used by RunRows alone

	reviewMu sync.Mutex // orders the calls of OnUnsettled; taken before mu

	mu         sync.Mutex
	table      *table
	versions   versions
	usages     map[string]*usage // by service
	usagesRead bool              // the rows of all services have been read since the list of servers was last old
	// usagesReadAt is when the last read of the rows of all services began.
	usagesReadAt time.Time
	gaps         int                  // times at which the list of servers was old
	noticed      map[string]time.Time // since when the row of a service has to change
	list         listAge
	unsettled    map[string][]string // as last passed to OnUnsettled
	copying      map[string]bool     // services whose records are copied to other entries
	pending      map[Stream]bool     // records to copy
	unsaved      map[Stream]bool     // records to write to the store
	stored       storedRecords
	servers      []fleet.Server            // as of the latest view
	shares       map[string][]Share        // of the services with several versions, by their servers
	adopted      map[string]int64          // numbers of the splits that this entry has adopted, by service
	progress     map[string]*entryProgress // of the other entries
	told         toldProgress
	savedAgain   map[string]int64      // numbers of the splits, by service, for which all records are written anew
	splitWaits   map[string]*waitState // changes of splits that are held up, by service
	members      memberList
	readFailedAt time.Time // when the last read of the list of servers that is known to have failed began
	durability   durability
}

// New returns an empty registry.
func New(opts Options) *Registry {
	if opts.OnUnsettled == nil {
		opts.OnUnsettled = func(map[string][]string) {}
	}
	return &Registry{
		opts:         opts,
		started:      time.Now(),
		copyWake:     make(chan struct{}, 1),
		saveWake:     make(chan struct{}, 1),
		announceWake: make(chan struct{}, 1),
		writer:       newRowWriter(opts.Self, time.Now()),
		table:        newTable(),
		versions:     newVersions(),
		usages:       map[string]*usage{},
		noticed:      map[string]time.Time{},
		copying:      map[string]bool{},
		pending:      map[Stream]bool{},
		unsaved:      map[Stream]bool{},
		shares:       map[string][]Share{},
		adopted:      map[string]int64{},
		progress:     map[string]*entryProgress{},
		savedAgain:   map[string]int64{},
		splitWaits:   map[string]*waitState{},
		durability:   newDurability(),
	}
}

// Update applies a new view of the deployment. While several versions of a service are in
// use, the records of its streams are copied and stored. Update does not block.
func (g *Registry) Update(v *fleet.View) {
	now := time.Now()
	g.mu.Lock()
	if g.list.update(v.ServersRead, suspendedTime()) {
		g.usagesRead = false
		g.gaps++
	}
	g.versions.observe(v.Servers, now)
	g.servers = v.Servers
	g.mu.Unlock()
	g.review(now)
}

// review derives what follows from the versions in use and the age of the list.
func (g *Registry) review(now time.Time) {
	g.updateMembers()
	g.reviewMu.Lock()
	defer g.reviewMu.Unlock()
	g.mu.Lock()
	for service := range g.versions.seen {
		g.reviewService(service, now)
	}
	unsettled := g.findUnsettled(now)
	changed := !maps.EqualFunc(unsettled, g.unsettled, slices.Equal)
	g.unsettled = unsettled
	g.mu.Unlock()
	if changed {
		g.opts.OnUnsettled(unsettled)
	}
}

// reviewService starts to copy and to store the records of a service, or stops it, and wakes
// RunUsages if a row has to change. The caller holds mu.
func (g *Registry) reviewService(service string, now time.Time) {
	several := len(g.inUse(service, now)) > 1
	if several {
		u := g.usageOf(service)
		g.shares[service] = sharesOf(g.servers, service, func(software string) bool { return u.stages[software] == stageSettled })
	}
	copied := several || !g.certain(service, now)
	if copied != g.copying[service] {
		g.copying[service] = copied
		for _, s := range g.table.ownOf(service, now) {
			if copied {
				g.copyLater(s)
			}
		}
	}
	needed := several || g.usageOf(service).revision == 0 // other entries may know another version
	if stored := g.stored.services[service]; needed != stored {
		g.stored.store(service, needed)
		for _, s := range g.table.ownOf(service, now) {
			if needed {
				g.saveLater(s)
			}
		}
	}
	if _, change := g.nextUsage(service, now); change || !g.usagesRead {
		wake(g.announceWake)
	}
	if u := g.usageOf(service); several && u.newestSplit() > g.adopted[service] {
		g.saveAgain(service, u, now)
		wake(g.saveWake)
	}
}

// saveAgain makes RunRows write all records of a service anew, once for each split beside one that
// covers nothing: the store may have lost them. The caller holds mu.
func (g *Registry) saveAgain(service string, u *usage, now time.Time) {
	if !u.splits[0].coversNothing() || g.savedAgain[service] == u.newestSplit() {
		return
	}
	g.savedAgain[service] = u.newestSplit()
	for _, s := range g.table.ownOf(service, now) {
		g.saveLater(s)
	}
}

// usageOf returns what is known of the row of a service. The caller holds mu.
func (g *Registry) usageOf(service string) *usage {
	if g.usages[service] == nil {
		g.usages[service] = newUsage()
	}
	return g.usages[service]
}

// inUse returns the versions of the service that are in use or were lately, in order. The
// caller holds mu.
func (g *Registry) inUse(service string, now time.Time) []string {
	out := g.versions.recent(service, now)
	for software := range g.usageOf(service).stages {
		if !slices.Contains(out, software) {
			out = append(out, software)
		}
	}
	slices.Sort(out)
	return out
}

// certain reports whether no other version than those in inUse can have begun a stream that
// clients resume now. The caller holds mu.
func (g *Registry) certain(service string, now time.Time) bool {
	return g.fresh(now) && g.usagesRead && g.usageOf(service).current()
}

// fresh reports whether the list of servers has each version that gets streams. The caller
// holds mu.
func (g *Registry) fresh(now time.Time) bool { return g.list.of(now, suspendedTime()) <= freshFor }

// findUnsettled returns the registered versions, by service, that may not get streams yet.
// The caller holds mu.
func (g *Registry) findUnsettled(now time.Time) map[string][]string {
	out := map[string][]string{}
	for service := range g.versions.seen {
		u := g.usageOf(service)
		for _, software := range g.versions.registered(service) {
			if !u.settled(software, g.versions.seen[service][software].since, now) {
				out[service] = append(out[service], software)
			}
		}
	}
	return out
}

// Settled reports whether the versions of all registered servers may get streams.
func (g *Registry) Settled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usagesRead && len(g.unsettled) == 0
}

// Began records that the stream of the request id is sent to a server of the given
// software version. A later call replaces the record.
func (g *Registry) Began(service, artifact, id, software string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := Stream{Service: service, ID: id}
	old, replaces := g.table.find(s, now)
	g.table.put(s, software, now)
	if replaces {
		g.table.replaced(s, old, g.stored.writing[s])
	}
	if g.stored.services[service] && !g.unsaved[s] {
		g.unsaved[s] = true // for isDurable
		g.durability.hurry = g.durability.hurry || !g.isDurable(s, artifact, software)
	}
	if g.copying[service] {
		g.copyLater(s)
	}
	if g.stored.services[service] {
		g.saveLater(s)
	}
}

// Lookup answers from this entry's records.
func (g *Registry) Lookup(s Stream) Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	r, found := g.table.find(s, now)
	return Answer{
		Software: r.software,
		Revision: r.revision,
		Found:    found,
		Maker:    r.maker,
		Several:  len(g.inUse(s.Service, now)) > 1,
	}
}

// wake makes the receiver of c run once more.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
