package view

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"peridotchute.example/fleet"
)

// The simulated deployment: entries and servers in two regions, of which the first has the
// store. All times are those of a synctest bubble.
const (
	simHeartbeat  = 1200 * time.Millisecond // of servers
	simExpiry     = 3 * simHeartbeat        // silence after which the store removes a registration
	simReturn     = 2 * time.Second         // after an outage, expired registrations are back within it
	simCall       = 1500 * time.Millisecond // timeout of a call to the store
	simDial       = 500 * time.Millisecond  // timeout of a new connection to it
	simSilence    = time.Second             // after which a connection between entries ends
	simCrossing   = 12 * time.Millisecond   // one way between regions
	simAnnounce   = 190 * time.Millisecond  // longest time until a new document is announced
	simGone       = 5 * time.Second         // a draining server is gone
	simStep       = 20 * time.Millisecond   // between two checks
	simCalm       = 4 * time.Second         // an entry is in touch if nothing was wrong for so long
	simDrain      = 2500 * time.Millisecond // for how long a server still takes requests after its leaving is known to the store
	simSendMargin = 500 * time.Millisecond  // from the choice of a server to the arrival of the request there
)

var errSimCut = errors.New("no connection")

// simServer is a simulated backend server.
type simServer struct {
	fleet.Server
	region    int
	beat      time.Time // last heartbeat that the store has accepted
	next      time.Time // next heartbeat
	leftAt    time.Time // when the store acknowledged that it leaves; zero if it has not
	leftCalm  bool      // the store was calm then
	listed    bool
	first     time.Time // when it was first listed
	announces bool      // it registers as draining before it is gone
}

// simEntry is a simulated entry. It implements fleet.Directory.
type simEntry struct {
	fleet.Directory
	*Watcher
	sim       *simulation
	name      string
	region    int
	cut       bool // from everything
	troubled  time.Time
	connected bool // the connection to the store is established
	links     map[string]time.Time
	document  Document
	held      time.Time // when document was read
}

// simulation is a simulated deployment with disruptions.
type simulation struct {
	mu                 sync.Mutex
	rnd                *rand.Rand
	entries            []*simEntry
	servers            []*simServer
	position           int64
	minPause           time.Duration // between the begins of two disruptions
	storeOnly          bool          // only the store is disrupted
	down               bool          // the store
	downStart, downEnd time.Time
	regions            bool // cut from each other
	cutEnd             time.Time
	started            time.Time
	byID               map[string]*simServer
	late               time.Duration // longest time after its leaving for which an entry in touch offered a server
	lateHow            string
	missingUp          time.Duration
	missingHow         string
	due, missing       int // checks of live servers around outages of the store, and those in which an entry lacked one
}

func newSimulation(seed uint64, entries int) *simulation {
	s := &simulation{rnd: rand.New(rand.NewPCG(seed, 1)), started: time.Now(), minPause: 500 * time.Millisecond, byID: map[string]*simServer{}}
	zones := map[string]string{"zone-0": "region-0", "zone-1": "region-1"}
	for i := range entries {
		e := &simEntry{sim: s, name: fmt.Sprintf("edge-%02d", i), region: i % 2, links: map[string]time.Time{}}
		e.Watcher = New(e, zones, nil)
		e.OnRead(func(d Document) { s.share(e, d) })
		s.entries = append(s.entries, e)
	}
	for range 12 {
		s.addServer()
	}
	return s
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rnd.Int64N(int64(high-low)))
}

func (s *simulation) addServer() {
	n := len(s.byID)
	region := n % 2
	v := &simServer{
		Server: fleet.Server{ID: fmt.Sprintf("i-%03d", n), Zone: fmt.Sprintf("zone-%d", region), Born: int64(n + 1)},
		region: region, next: time.Now(), announces: s.rnd.IntN(2) == 0,
	}
	s.servers = append(s.servers, v)
	s.byID[v.ID] = v
}

// reaches reports whether the store can be reached from a region.
func (s *simulation) reaches(region int) bool { return !s.down && (region == 0 || !s.regions) }

// Servers implements fleet.Directory.
func (e *simEntry) Servers(context.Context) (fleet.Registry, error) {
	s := e.sim
	trip := simCrossing * time.Duration(2*e.region+1)
	time.Sleep(trip / 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && s.rnd.IntN(2) == 0 {
		return fleet.Registry{}, errSimCut // refused at once
	}
	if e.cut || !s.reaches(e.region) {
		timeout := simDial
		if e.connected {
			timeout = simCall
		}
		for end := time.Now().Add(timeout); ; s.sleep(simStep) {
			if !time.Now().Before(end) {
				e.connected = false
				return fleet.Registry{}, errSimCut
			}
			if !s.storeOnly && e.connected && !e.cut && s.reaches(e.region) && s.rnd.IntN(20) == 0 {
				break // sent once more
			}
		}
	}
	e.connected = true
	reg := s.registry()
	s.sleep(trip / 2)
	return reg, nil
}

// sleep sleeps without the lock.
func (s *simulation) sleep(d time.Duration) {
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
}

func (s *simulation) registry() fleet.Registry {
	reg := fleet.Registry{Position: fleet.Position{Version: s.position}}
	for _, v := range s.servers {
		if v.listed {
			reg.Servers = append(reg.Servers, v.Server)
		}
	}
	return reg
}

// linked reports whether two entries can exchange messages.
func (s *simulation) linked(a, b *simEntry) bool {
	return a != b && !a.cut && !b.cut && (a.region == b.region || !s.regions)
}

// peers returns the names of the entries to which e is connected.
func (e *simEntry) peers() []string {
	e.sim.mu.Lock()
	defer e.sim.mu.Unlock()
	var names []string
	for name, last := range e.links {
		if time.Since(last) < simSilence {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// share sends a document that e has read to its peers.
func (s *simulation) share(e *simEntry, d Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.store(d)
	for _, other := range s.entries {
		if s.linked(e, other) {
			s.send(e, other)
		}
	}
}

func (e *simEntry) store(d Document) { e.document, e.held = d, time.Now().Add(-d.Age) }

// send delivers the document of an entry to another one after some time.
func (s *simulation) send(from, to *simEntry) {
	d, held := from.document, from.held
	delay := s.between(5*time.Millisecond, simAnnounce)
	if from.region != to.region {
		delay += 3 * simCrossing
	}
	time.AfterFunc(delay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.linked(from, to) || d.Version <= to.document.Version || d.Version == 0 {
			return
		}
		d.Age, d.Peer = time.Since(held), from.name
		to.store(d)
		_ = to.ApplyDocument(d)
	})
}

// step advances the deployment.
func (s *simulation) step() {
	now := time.Now()
	if s.down && now.After(s.downEnd) {
		s.down = false
		for _, v := range s.servers {
			v.next = now.Add(s.between(0, simReturn-300*time.Millisecond))
		}
	}
	if s.regions && now.After(s.cutEnd) {
		s.regions = false
	}
	for _, v := range s.servers {
		s.stepServer(v, now)
	}
	for _, e := range s.entries {
		s.stepEntry(e, now)
	}
}

func (s *simulation) stepServer(v *simServer, now time.Time) {
	if v.leftAt.IsZero() && now.After(v.next) && s.reaches(v.region) {
		if v.first.IsZero() {
			v.first = now
		}
		s.position++
		v.beat, v.next, v.listed, v.Registration = now, now.Add(simHeartbeat), true, s.position
	}
	if v.listed && v.leftAt.IsZero() && now.Sub(v.beat) > simExpiry {
		v.listed = false
		s.position++
	}
}

func (s *simulation) stepEntry(e *simEntry, now time.Time) {
	if s.down || e.cut || !s.reaches(e.region) {
		e.troubled = now
	}
	for _, other := range s.entries {
		if !s.linked(e, other) {
			continue
		}
		if last, known := e.links[other.name]; (!known || now.Sub(last) >= simSilence) && s.rnd.IntN(15) != 0 {
			continue // connects somewhat later
		} else if !known || now.Sub(last) >= simSilence {
			s.send(other, e)
		}
		e.links[other.name] = now
	}
}

// disrupt begins a random disruption.
func (s *simulation) disrupt() {
	now := time.Now()
	kind := s.rnd.IntN(4)
	if s.storeOnly {
		kind = 0
	}
	switch kind {
	case 0:
		s.down, s.downStart, s.downEnd = true, now, now.Add(s.between(200*time.Millisecond, 8*time.Second))
	case 1:
		s.regions, s.cutEnd = true, now.Add(s.between(200*time.Millisecond, 9*time.Second))
	default:
		e := s.entries[s.rnd.IntN(len(s.entries))]
		e.cut = true
		time.AfterFunc(s.between(200*time.Millisecond, 9*time.Second), func() { s.mu.Lock(); e.cut = false; s.mu.Unlock() })
	}
}

// leave lets a random server leave, and another one start.
func (s *simulation) leave(calm bool) {
	var ready []*simServer
	for _, v := range s.servers {
		if v.listed && v.leftAt.IsZero() && s.reaches(v.region) {
			ready = append(ready, v)
		}
	}
	if len(ready) < 3 {
		return
	}
	v := ready[s.rnd.IntN(len(ready))]
	v.leftAt, v.leftCalm = time.Now(), calm
	v.Draining = v.announces
	v.listed = v.announces
	s.position++
	s.servers = slices.DeleteFunc(s.servers, func(v *simServer) bool { return !v.leftAt.IsZero() && time.Since(v.leftAt) > simGone })
	s.addServer()
}
