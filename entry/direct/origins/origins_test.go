package origins

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
)

const (
	service = "llm"
	model   = "base"
)

// network connects the registries of several entries within the test.
type network struct {
	table   *memory
	mu      sync.Mutex
	entries map[string]*Registry

	restarted map[string]bool // entries that an earlier process of the same name preceded
	apart     map[string]bool // entries that are connected to no other
	lost      map[string]int  // entries that ended and still have a row, with a count that the test keeps
}

// link implements Peers for one entry of a network.
type link struct {
	net  *network
	self string
}

func (l link) Connected() []string {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	var names []string
	for name := range l.net.entries {
		if name != l.self && !l.net.apart[name] && !l.net.apart[l.self] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (l link) Send(peer string, m Records) { l.net.entry(peer).Receive(l.self, m) }

func (l link) SendUsages(peer string, u []Usage) { l.net.entry(peer).ReceiveUsages(u) }

func (l link) SendProgress(peer string, p Progress) { l.net.entry(peer).ReceiveProgress(l.self, p) }

func (l link) Members() (names []string, read time.Time) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for name := range l.net.entries {
		if name != l.self {
			names = append(names, name)
		}
	}
	for name := range l.net.lost {
		names = append(names, name)
	}
	return names, time.Now()
}

func (l link) RefreshMembers() {}

func (l link) Restarted() bool {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	return l.net.restarted[l.self]
}

func (l link) Ask(_ context.Context, peer string, s Stream) (Answer, error) {
	entry := l.net.entry(peer)
	if entry == nil {
		return Answer{}, fault.Newf(fault.KindUnavailable, "ask", peer, "not connected")
	}
	return entry.Lookup(s), nil
}

func (n *network) entry(name string) *Registry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries[name]
}

func (n *network) remove(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.entries, name)
}

func newNetwork(entries int, software ...string) *network {
	n := &network{table: newMemory(), entries: map[string]*Registry{}}
	for i := range entries {
		name := fmt.Sprintf("entry-%d", i)
		n.entries[name] = n.newRegistry(name)
	}
	n.update(software...)
	return n
}

func (n *network) newRegistry(name string) *Registry {
	return New(Options{Self: name, Peers: link{net: n, self: name}, Table: n.table, Log: discardLog()})
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// update gives every entry a view with one server of each software version.
func (n *network) update(software ...string) {
	for _, name := range slices.Sorted(maps.Keys(n.entries)) {
		updateEntry(n.entries[name], viewOf(software...))
	}
}

// updateEntry gives an entry a view and has it do what its loops would do.
func updateEntry(g *Registry, v *fleet.View) {
	g.Update(v)
	_ = g.syncUsages(context.Background()) // fails while the table is down
}

func viewOf(software ...string) *fleet.View {
	v := &fleet.View{ServersRead: time.Now()}
	for i, s := range software {
		v.Servers = append(v.Servers, fleet.Server{ID: fmt.Sprint(i), Service: service, Software: s})
	}
	return v
}

func find(g *Registry, id string) (string, Origin) {
	f := g.Find(context.Background(), service, model, id)
	return f.Software, f.Origin
}

func TestRecordSurvivesItsEntry(t *testing.T) {
	for entries := 2; entries <= 8; entries++ {
		n := newNetwork(entries, "v1", "v2")
		first := n.entry("entry-0")
		first.Began(service, model, "a", "v1")
		first.copyPending()
		n.remove("entry-0")
		for name, g := range n.entries {
			software, origin := find(g, "a")
			assert.Equal(t, origin, Known, name)
			assert.Equal(t, software, "v1", name)
		}
	}
}

func TestRecordSurvivesItsEntryAndOneHolder(t *testing.T) {
	n := newNetwork(6, "v1", "v2")
	first := n.entry("entry-0")
	first.Began(service, model, "a", "v1")
	first.copyPending()
	kept := holders(Stream{Service: service, ID: "a"}, first.opts.Peers.Connected(), copies)
	n.remove("entry-0")
	n.remove(kept[0])
	for name, g := range n.entries {
		_, origin := find(g, "a")
		assert.Equal(t, origin, Known, name)
	}
}

func TestRecordsAreCopiedWhenSecondVersionAppears(t *testing.T) {
	n := newNetwork(3, "v1")
	first := n.entry("entry-0")
	first.Began(service, model, "a", "v1")
	assert.Equal(t, len(first.pending), 0)
	n.update("v1", "v2")
	first.copyPending()
	n.remove("entry-0")
	software, origin := find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, Known)
	assert.Equal(t, software, "v1")
}

func TestUnknownStream(t *testing.T) {
	n := newNetwork(3, "v1")
	_, origin := find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, AnyVersion)
	var software string
	n.update("v1", "v2")
	software, origin = find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, Derived)
	assert.Equal(t, software, "v1", "it began while v1 was the only version")
	n.update("v2")
	software, origin = find(n.entry("entry-1"), "a")
	assert.Equal(t, origin, Derived, "streams of the version that has left may be resumed for a while")
	assert.Equal(t, software, "v1")
}

func TestEntryThatIsCutOffDoesNotAssumeOneVersion(t *testing.T) {
	n := newNetwork(1)
	g := n.entry("entry-0")
	v := &fleet.View{Servers: []fleet.Server{{ID: "1", Service: service, Software: "v1"}}, ServersRead: time.Now().Add(-2 * freshFor)}
	g.Update(v)
	_, origin := find(g, "a")
	assert.Equal(t, origin, Unknown)
}

func TestLaterRecordReplacesEarlierOne(t *testing.T) {
	n := newNetwork(2, "v1", "v2")
	g := n.entry("entry-0")
	g.Began(service, model, "a", "v1")
	g.Began(service, model, "a", "v2")
	g.copyPending()
	for name, g := range n.entries {
		software, origin := find(g, "a")
		assert.Equal(t, origin, Known, name)
		assert.Equal(t, software, "v2", name)
	}
}

func TestTableExpires(t *testing.T) {
	now := time.Now()
	table := newTable()
	a, b := Stream{service, "a"}, Stream{service, "b"}
	table.put(a, "v1", now)
	table.put(b, "v1", now.Add(recordTTL/2))
	table.put(a, "v2", now.Add(recordTTL/2))
	table.expire(now.Add(recordTTL))
	software, found := table.get(a, now.Add(recordTTL))
	assert.Assert(t, found)
	assert.Equal(t, software, "v2")
	table.expire(now.Add(2 * recordTTL))
	assert.Equal(t, len(table.records), 0)
	assert.Equal(t, len(table.order), 0)
}

func TestTableIsBounded(t *testing.T) {
	now := time.Now()
	table := newTable()
	for i := range maxRecords + 10 {
		table.put(Stream{service, fmt.Sprint(i)}, "v1", now)
	}
	assert.Equal(t, len(table.records), maxRecords)
	_, found := table.get(Stream{service, "0"}, now)
	assert.Assert(t, !found)
}

// restart replaces an entry by a new process that has read the registrations of one
// server of each software version.
func (n *network) restart(name string, software ...string) *Registry {
	g := n.newRegistry(name)
	updateEntry(g, viewOf(software...))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries[name] = g
	return g
}

// TestRestartedEntryAssumesOneVersion restarts an entry after the version of a stream
// has left.
func TestRestartedEntryAssumesOneVersion(t *testing.T) {
	n := newNetwork(3, "v1", "v2")
	first := n.entry("entry-0")
	first.Began(service, model, "a", "v1")
	first.copyPending()
	n.update("v2")
	restarted := n.restart("entry-1", "v2")
	software, origin := find(restarted, "a")
	assert.Equal(t, origin, Known)
	assert.Equal(t, software, "v1")
	software, origin = find(restarted, "b")
	assert.Equal(t, origin, Derived, "streams of the version that has left may be resumed for a while")
	assert.Equal(t, software, "v1", "a stream of v2 would have a record")
}

// TestRestartedEntryRefusesStreamsOfOnlyVersion restarts an entry while one version
// has been in use all along.
func TestRestartedEntryRefusesStreamsOfOnlyVersion(t *testing.T) {
	n := newNetwork(3, "v1")
	n.entry("entry-0").Began(service, model, "a", "v1")
	restarted := n.restart("entry-1", "v1")
	software, origin := find(restarted, "a")
	assert.Equal(t, origin, Known)
	assert.Equal(t, software, "v1")
	for _, unknown := range []string{"b", ""} {
		software, origin = find(restarted, unknown)
		assert.Equal(t, origin, AnyVersion)
		assert.Equal(t, software, "v1")
	}
}

// TestVersionsAreForgottenWhileStoreIsDown has no registrations read for longer than
// versionTTL. The servers of the last view still serve.
func TestVersionsAreForgottenWhileStoreIsDown(t *testing.T) {
	now := time.Now()
	v := newVersions()
	v.observe(viewOf("v1", "v2").Servers, now)
	assert.Assert(t, v.several(service, now.Add(2*versionTTL)), "both are registered")
	v.observe(viewOf("v2").Servers, now.Add(2*versionTTL))
	assert.Assert(t, v.several(service, now.Add(3*versionTTL-time.Second)), "v1 left just before the view")
	assert.Assert(t, !v.several(service, now.Add(3*versionTTL)))
}

// TestStreamOfOnlyVersionIsNotBound resumes a stream while one version is in use; another
// one may appear before the request is sent to a server.
func TestStreamOfOnlyVersionIsNotBound(t *testing.T) {
	software, origin := find(newNetwork(2, "v1").entry("entry-1"), "a")
	assert.Equal(t, origin, AnyVersion)
	assert.Equal(t, software, "v1")
}

// TestCutOffEntriesAssumeOneVersion cuts two entries off together, before a second
// version appears for the others.
func TestCutOffEntriesAssumeOneVersion(t *testing.T) {
	n := newNetwork(2)
	v := viewOf("v1")
	v.ServersRead = time.Now().Add(-2 * freshFor)
	for _, g := range n.entries {
		g.Update(v)
	}
	_, origin := find(n.entry("entry-0"), "a")
	assert.Equal(t, origin, Unknown)
}

// TestHoldersAreTheHighestScores compares the choice with a sort of all entries.
func TestHoldersAreTheHighestScores(t *testing.T) {
	var names []string
	for i := range 40 {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	for i := range 200 {
		s := Stream{Service: service, ID: fmt.Sprint(i)}
		score := func(name string) uint64 { return xxhash.Sum64String(s.Service + "\x00" + s.ID + "\x00" + name) }
		sorted := slices.Clone(names)
		slices.SortFunc(sorted, func(a, b string) int { return cmp.Compare(score(b), score(a)) })
		for n := range 4 {
			assert.DeepEqual(t, holders(s, names, n), sorted[:n])
			assert.DeepEqual(t, holders(s, names[:2], n), holders(s, names[:2], min(n, 2)))
		}
	}
}

func BenchmarkHolders(b *testing.B) {
	var names []string
	for i := range 380 {
		names = append(names, fmt.Sprintf("edge-pamp-a-%d", i))
	}
	s := Stream{Service: "brief-writer", ID: "f49bdb1f2606aee8"}
	b.ReportAllocs()
	for b.Loop() {
		holders(s, names, copies)
	}
}

// TestHolderWithoutLaterRecordNamesOtherVersion loses the second of two records of a
// stream on the way to one of its holders, which then resumes the stream.
func TestHolderWithoutLaterRecordNamesOtherVersion(t *testing.T) {
	n := newNetwork(5, "v1", "v2")
	first := n.entry("entry-0")
	first.Began(service, model, "a", "v1")
	first.copyPending()
	holder := holders(Stream{Service: service, ID: "a"}, first.opts.Peers.Connected(), copies)[0]
	kept := n.entry(holder)
	n.remove(holder)
	first.Began(service, model, "a", "v2")
	first.copyPending()
	n.mu.Lock()
	n.entries[holder] = kept
	n.mu.Unlock()
	software, origin := find(kept, "a")
	assert.Assert(t, origin == Unknown || software == "v2", "%s", software)
}

// TestEntryThatStoodStillAssumesOneVersion has an entry go on with the registrations of
// before it stood still, connected to entries that have begun streams at another version.
func TestEntryThatStoodStillAssumesOneVersion(t *testing.T) {
	n := newNetwork(3, "v1")
	late := n.entry("entry-1")
	late.started = late.started.Add(-2 * recordTTL)
	v := viewOf("v1")
	v.ServersRead = time.Now().Add(-2 * freshFor)
	late.Update(v)
	for _, name := range []string{"entry-0", "entry-2"} {
		n.entry(name).Update(viewOf("v1", "v2"))
	}
	n.entry("entry-0").Began(service, model, "a", "v2")
	software, origin := find(late, "a")
	assert.Assert(t, origin == Unknown || software == "v2", "%s %s", origin, software)
}
