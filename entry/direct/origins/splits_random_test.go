package origins

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/fleet"
)

var (
	firstHistory = flag.Uint64("history.first", 1, "seed of the first random history of splits")
	histories    = flag.Uint64("history.count", 10, "number of random histories of splits")
)

// lostRounds is the number of resumeTimes after which the row of an entry that is gone is removed.
const lostRounds = 3

// history has entries lose the store, each other and their processes in random order, some for good,
// while streams begin, and the servers of up to three versions change, join and leave.
type history struct {
	*network
	t       *testing.T
	rnd     *rand.Rand
	cut     map[string]*atomic.Bool // from the store, by entry
	servers []fleet.Server
	streams int
	seed    uint64

	brought map[string]string // versions of the streams that have brought an event, by ID
	waiting []heldStream
	found   map[Origin]int
}

// heldStream is a stream that has not brought an event.
type heldStream struct {
	entry        *Registry
	id, software string
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		network: newNetwork(0),
		t:       t,
		seed:    seed,
		rnd:     rand.New(rand.NewPCG(seed, 0)),
		cut:     map[string]*atomic.Bool{},
		brought: map[string]string{},
		found:   map[Origin]int{},
	}
	h.restarted, h.apart, h.lost = map[string]bool{}, map[string]bool{}, map[string]int{}
	h.servers = serversOf("v1", 4, model)
	if h.rnd.IntN(2) == 0 {
		h.servers = append(h.servers, serversOf("v2", 4, model)...)
	}
	for i := range 4 {
		h.start(fmt.Sprintf("entry-%d", i))
	}
	return h
}

// start starts a process of an entry, which reaches the store and all others.
func (h *history) start(name string) {
	h.cut[name] = &atomic.Bool{}
	g := New(Options{Self: name, Peers: link{net: h.network, self: name}, Table: cutTable{h.table, h.cut[name]}, Log: discardLog()})
	h.mu.Lock()
	h.entries[name] = g
	delete(h.apart, name)
	h.mu.Unlock()
	h.view(g)
	for _, peer := range (link{net: h.network, self: name}).Connected() {
		g.PeerConnected(peer)
		h.entry(peer).PeerConnected(name)
	}
}

func (h *history) view(g *Registry) {
	updateEntry(g, &fleet.View{ServersRead: time.Now(), Servers: h.servers})
}

func (h *history) names() []string { return slices.Sorted(maps.Keys(h.entries)) }

func (h *history) any() *Registry { return h.entries[h.names()[h.rnd.IntN(len(h.entries))]] }

// begin sends a new stream to a server, as front does.
func (h *history) begin() {
	h.streams++
	g, id := h.any(), fmt.Sprintf("s%d", h.streams)
	versions := usable(g)
	if len(versions) == 0 {
		return
	}
	software := versions[h.rnd.IntN(len(versions))]
	if a := g.Assigned(service, model, id); a.Required && a.Software != "" {
		if !slices.Contains(versions, a.Software) {
			return // refused
		}
		software = a.Software
	}
	if h.rnd.IntN(5) == 0 { // an attempt, perhaps at another version, fails before an event
		g.Began(service, model, id, versions[h.rnd.IntN(len(versions))])
	}
	g.Began(service, model, id, software)
	h.waiting = append(h.waiting, heldStream{g, id, software})
}

// usable returns the versions that an entry sends streams to.
func usable(g *Registry) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(g.versions.registered(service), func(software string) bool {
		return slices.Contains(g.unsettled[service], software)
	})
}

// bringEvents has the streams that may do so bring their first event, if their entry runs.
func (h *history) bringEvents() {
	h.waiting = slices.DeleteFunc(h.waiting, func(s heldStream) bool {
		if h.entries[s.entry.opts.Self] != s.entry {
			return true
		}
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		if !s.entry.isDurable(Stream{Service: service, ID: s.id}, model, s.software) {
			return s.entry.durability.failures >= maxSaveFailures
		}
		h.brought[s.id] = s.software
		return true
	})
}

// resume looks at an entry for a stream that has brought an event.
func (h *history) resume() {
	if len(h.brought) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(h.brought))
	id := ids[h.rnd.IntN(len(ids))]
	g := h.any()
	g.mu.Lock()
	g.stored.loaded = time.Time{} // another read is allowed
	g.mu.Unlock()
	f := g.Find(context.Background(), service, model, id)
	h.found[f.Origin]++
	if f.Origin != Unknown {
		assert.Equal(h.t, f.Software, h.brought[id], "seed %d, stream %s, %v, splits %v", h.seed, id, f, g.State().Splits)
	}
}

// work has an entry do once some of what its loops would do.
func (h *history) work(g *Registry) {
	switch h.rnd.IntN(4) {
	case 0:
		g.review(time.Now())
		g.mu.Lock()
		g.told.at = time.Time{}
		g.mu.Unlock()
		g.tellProgress(time.Now())
		g.reviewSplitWaits(time.Now())
	case 1:
		_ = g.save(context.Background())
	case 2:
		g.copyPending()
	case 3:
		g.mu.Lock()
		for s := range g.noticed {
			g.noticed[s] = time.Now().Add(-maxAnnounceRank * announceStagger)
		}
		g.mu.Unlock()
		_ = g.syncUsages(context.Background())
	}
}

// kill ends the process of an entry and starts another.
func (h *history) kill(names ...string) {
	for _, name := range names {
		h.mu.Lock()
		delete(h.entries, name)
		h.restarted[name] = true
		h.mu.Unlock()
	}
	for _, name := range names {
		h.start(name)
	}
}

// connect ends the cuts of an entry.
func (h *history) connect(name string) {
	h.cut[name].Store(false)
	h.mu.Lock()
	wasApart := h.apart[name]
	delete(h.apart, name)
	h.mu.Unlock()
	if !wasApart {
		return
	}
	for _, peer := range (link{net: h.network, self: name}).Connected() {
		h.entry(name).PeerConnected(peer)
		h.entry(peer).PeerConnected(name)
	}
}

// lose ends the process of an entry for good. Its row stays for a while.
func (h *history) lose(name string) {
	if len(h.entries) == 1 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.entries, name)
	h.lost[name], h.restarted[name] = lostRounds, true
}

// comeBack starts an entry that was lost.
func (h *history) comeBack() {
	for _, name := range slices.Sorted(maps.Keys(h.lost)) {
		h.mu.Lock()
		delete(h.lost, name)
		h.mu.Unlock()
		h.start(name)
		return
	}
}

// fault injects or ends a fault, or changes the servers.
func (h *history) fault() {
	name := h.names()[h.rnd.IntN(len(h.entries))]
	switch h.rnd.IntN(14) {
	case 0:
		h.table.setDown(true)
	case 1, 2:
		h.table.setDown(false)
	case 3:
		h.cut[name].Store(true)
		if h.rnd.IntN(2) == 0 {
			h.mu.Lock()
			h.apart[name] = true
			h.mu.Unlock()
		}
	case 4:
		h.connect(name)
	case 5:
		h.kill(name)
	case 6:
		h.kill(h.names()...)
	case 7:
		h.changeServers()
	case 8:
		h.passTime()
	case 9:
		h.lose(name)
	case 10:
		h.comeBack()
	default:
		h.advance(settleTime)
	}
}

// changeServers changes how many servers the versions have. Some have none.
func (h *history) changeServers() {
	h.servers = nil
	for _, software := range []string{"v1", "v2", "v3"} {
		h.servers = append(h.servers, serversOf(software, max(0, h.rnd.IntN(9)-3), model)...)
	}
	if len(h.servers) == 0 {
		h.servers = serversOf("v1", 4, model)
	}
}

// passTime makes resumeTime pass, after which no client comes back for a stream.
func (h *history) passTime() {
	clear(h.brought)
	h.waiting = nil
	h.advance(resumeTime)
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.lost {
		if h.lost[name]--; h.lost[name] == 0 {
			delete(h.lost, name)
			delete(h.restarted, name)
		}
	}
}

// advance makes time pass. Entries that reach the store, or another entry, get a new list of servers.
func (h *history) advance(d time.Duration) {
	for _, g := range h.entries {
		g.shiftTimes(-d)
	}
	for _, name := range h.names() {
		g := h.entries[name]
		h.mu.Lock()
		isolated := h.table.down || h.cut[name].Load() && h.apart[name]
		h.mu.Unlock()
		if !isolated {
			h.view(g)
		}
		g.review(time.Now())
		g.reviewSplitWaits(time.Now())
	}
}

// heal ends all faults and checks that the entries arrive at one split, that of their servers.
func (h *history) heal() {
	h.table.setDown(false)
	for len(h.lost) > 0 {
		h.comeBack()
	}
	for _, name := range h.names() {
		h.connect(name)
	}
	for range 8 {
		h.passTime()
		for range 4 {
			h.step()
		}
	}
	for _, name := range h.names() {
		state := h.entries[name].State()
		assert.Assert(h.t, len(state.Splits[service]) <= 1, "seed %d, %s: %v", h.seed, name, state)
		assert.Equal(h.t, len(state.Waits), 0, "seed %d, %s: %v", h.seed, name, state.Waits)
	}
}

// historySeeds returns the seeds of the histories. Those that once joined versions stay among them.
func historySeeds() []uint64 {
	seeds := []uint64{88, 247, 373, 542, 560, 681, 781, 1072, 1979, 2305, 2903, 3172}
	for i := range *histories {
		seeds = append(seeds, *firstHistory+i)
	}
	return seeds
}

// TestRandomFaultsJoinVersions checks that no stream goes on at another version than that which
// brought its events, whatever fails.
func TestRandomFaultsJoinVersions(t *testing.T) {
	const steps = 1500
	found := map[Origin]int{}
	for _, seed := range historySeeds() {
		h := newHistory(t, seed)
		for range steps {
			switch h.rnd.IntN(10) {
			case 0, 1:
				h.begin()
			case 2:
				h.bringEvents()
			case 3:
				h.resume()
			case 4:
				if h.rnd.IntN(6) == 0 {
					h.fault()
				}
			case 5:
				g := h.any()
				h.view(g)
				g.mu.Lock()
				for _, u := range g.usages {
					u.newestAt = u.newestAt.Add(-minSplitInterval)
				}
				g.mu.Unlock()
			default:
				h.work(h.any())
			}
		}
		for origin, n := range h.found {
			found[origin] += n
		}
		h.heal()
	}
	t.Logf("%v", found)
	assert.Assert(t, found[Derived] > 0 && found[Known] > 0, "%v", found)
}
