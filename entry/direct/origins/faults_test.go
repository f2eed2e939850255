package origins

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
	"peridotchute.example/store"
)

// apart returns two entries that share the store and are not connected to each other.
func apart() (a, b *Registry) {
	n := newNetwork(1)
	other := &network{table: n.table, entries: map[string]*Registry{}}
	other.entries["entry-9"] = other.newRegistry("entry-9")
	return n.entry("entry-0"), other.entry("entry-9")
}

// copyOf returns what the store has now, as a copy from which it may come back.
func (m *memory) copyOf() (rows map[string]map[string]store.Row, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows = map[string]map[string]store.Row{}
	for part, byKey := range m.rows {
		rows[part] = map[string]store.Row{}
		for key, row := range byKey {
			rows[part][key] = row
		}
	}
	return rows, m.version
}

func (m *memory) comeBack(rows map[string]map[string]store.Row, version int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rows, m.version = rows, version
}

func (m *memory) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

// joins reports whether an entry would let a stream of v2 go on at v1.
func joins(g *Registry, id string) bool {
	software, origin := find(g, id)
	return origin != Unknown && software != "v2"
}

// bringsEvent has a stream begin at an entry, which tries to store its record, and reports whether
// the stream may bring its first event. One that may not cannot be resumed.
func bringsEvent(g *Registry, id, software string) bool {
	g.Began(service, model, id, software)
	_ = g.save(context.Background()) // fails while the store is down
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isDurable(Stream{Service: service, ID: id}, model, software)
}

// TestVersionThatLeftBeforeItSettledGetsStreamsOnReturn has a server of a second version
// register for less than the time between two lists of another entry, leave, and come back.
func TestVersionThatLeftBeforeItSettledGetsStreamsOnReturn(t *testing.T) {
	a, b := apart()
	updateEntry(a, viewOf("v1"))
	updateEntry(b, viewOf("v1"))
	updateEntry(a, viewOf("v1", "v2"))
	assert.DeepEqual(t, a.State().Unsettled, map[string][]string{service: {"v2"}})
	updateEntry(a, viewOf("v1"))
	updateEntry(b, viewOf("v1"))
	updateEntry(a, viewOf("v1", "v2"))
	if len(a.State().Unsettled) > 0 {
		return // no resumable stream begins at v2
	}
	a.Began(service, model, "s", "v2")
	assert.Assert(t, !joins(b, "s"), "a stream of v2 goes on at v1; the versions in the store: %v", a.State().Stages)
}

// TestVersionThatLeftIsNotNamedAfterStoreCameBackFromCopy has the store lose the row with a
// second version, which leaves after that.
func TestVersionThatLeftIsNotNamedAfterStoreCameBackFromCopy(t *testing.T) {
	n := newNetwork(3, "v1")
	rows, version := n.table.copyOf()
	n.update("v1", "v2")
	n.entry("entry-0").Began(service, model, "s", "v2")
	n.table.comeBack(rows, version)
	for range 3 {
		n.update("v1")
	}
	n.killAll("v1")
	assert.Assert(t, !joins(n.entry("entry-1"), "s"), "a stream of v2 goes on at v1")
}

// TestRowThatStoreLostIsNotWrittenAgain has the store come back from a copy without the row.
func TestRowThatStoreLostIsNotWrittenAgain(t *testing.T) {
	n := newNetwork(3)
	rows, version := n.table.copyOf()
	n.update("v1")
	n.table.comeBack(rows, version)
	for _, g := range n.entries {
		g.list.read = time.Time{} // lists with lower positions were ignored for a while
	}
	n.update("v1")
	n.update("v1")
	_, err := n.table.Get(context.Background(), usagePrefix+service)
	assert.NilError(t, err)
}

// TestVersionThatWasNeverAnnouncedIsNotNamedAfterItLeft has the store refuse writes while a
// second version is in use.
func TestVersionThatWasNeverAnnouncedIsNotNamedAfterItLeft(t *testing.T) {
	n := newNetwork(3, "v1")
	n.table.setDown(true)
	n.update("v1", "v2")
	for _, g := range n.entries {
		seen := g.versions.seen[service]["v2"]
		seen.since = seen.since.Add(-announceTimeout)
		g.versions.seen[service]["v2"] = seen
	}
	n.update("v1", "v2")
	assert.Equal(t, len(n.entry("entry-0").State().Unsettled), 0, "v2 is used though it cannot be announced")
	assert.Assert(t, !bringsEvent(n.entry("entry-0"), "s", "v2"), "nothing outside this entry says that s is at v2")
	n.table.setDown(false)
	save(t, n.entry("entry-0"))
	assert.Assert(t, bringsEvent(n.entry("entry-0"), "s", "v2"))
	n.table.setDown(true)
	n.update("v1")
	n.table.setDown(false)
	for range 3 {
		n.update("v1")
	}
	n.killAll("v1")
	assert.Assert(t, !joins(n.entry("entry-1"), "s"), "a stream of v2 goes on at v1")
}

// TestCutOffEntryBeginsStreamsOfVersionThatOthersForgot has an entry and the servers of a
// version be cut off from the store and the other entries for longer than recordTTL.
func TestCutOffEntryBeginsStreamsOfVersionThatOthersForgot(t *testing.T) {
	cut, other := apart()
	updateEntry(cut, viewOf("v1", "v2"))
	updateEntry(other, viewOf("v1", "v2"))
	cut.list.read = cut.list.read.Add(-2 * recordTTL)
	cut.review(time.Now())
	updateEntry(other, viewOf("v1"))
	past := time.Now().Add(-2 * recordTTL)
	other.usages[service].since["v2"] = past
	seen := other.versions.seen[service]["v2"]
	seen.at = past
	other.versions.seen[service]["v2"] = seen
	updateEntry(other, viewOf("v1"))
	if len(cut.State().Unsettled) > 0 {
		return // no resumable stream begins at v2
	}
	brings := bringsEvent(cut, "s", "v2")
	assert.Assert(t, brings, "its record is in the store")
	assert.Assert(t, !joins(other, "s"), "a stream of v2 goes on at v1")
	down := &atomic.Bool{}
	down.Store(true)
	cut.opts.Table = cutTable{cut.opts.Table.(*memory), down}
	brings = bringsEvent(cut, "u", "v2")
	assert.Assert(t, !brings || !joins(other, "u"), "a stream of v2 goes on at v1")
}

// TestStaleCopyIsBelievedWhileMakerIsConnected resumes a stream at an entry that has no copy
// of its record. The message with the later record to one holder was lost, as its queue was
// full, and the other holder does not answer.
func TestStaleCopyIsBelievedWhileMakerIsConnected(t *testing.T) {
	tried := 0
	for i := range 40 {
		n := newNetwork(8, "v1", "v2")
		maker := n.entry("entry-0")
		id := fmt.Sprint(i)
		s := Stream{Service: service, ID: id}
		maker.Began(service, model, id, "v1")
		maker.copyPending()
		kept := holders(s, maker.opts.Peers.Connected(), copies)
		maker.Began(service, model, id, "v2")
		maker.copyPending()
		save(t, maker)
		missed := n.entry(kept[0])
		delete(missed.table.records, s)
		missed.table.putCopy(Record{Stream: s, Software: "v1"}, "entry-0", time.Now())
		n.remove(kept[1])
		for name, g := range n.entries {
			if _, held := g.table.find(s, time.Now()); held || slices.Contains(g.candidates(s, ""), "entry-0") {
				continue
			}
			tried++
			assert.Assert(t, !joins(g, id), "%s takes the copy of %s for the newest, stream %s", name, kept[0], id)
		}
	}
	assert.Assert(t, tried > 0)
}

// TestOlderSetOfUnsettledVersionsReplacesNewerOne has another entry say that a version has
// settled just as this one passes on that it is new.
func TestOlderSetOfUnsettledVersionsReplacesNewerOne(t *testing.T) {
	n := newNetwork(1)
	var g *Registry
	var mu sync.Mutex
	var last map[string][]string
	begun := make(chan struct{})
	done := make(chan struct{})
	var watched, waited atomic.Bool
	opts := Options{Self: "entry-0", Peers: link{net: n, self: "entry-0"}, Table: n.table, Log: discardLog()}
	opts.OnUnsettled = func(m map[string][]string) {
		if watched.Load() && waited.CompareAndSwap(false, true) {
			close(begun)
			select { // the goroutine is preempted here
			case <-done:
			case <-time.After(time.Second):
			}
		}
		mu.Lock()
		last = m
		mu.Unlock()
	}
	g = New(opts)
	updateEntry(g, viewOf("v1"))
	watched.Store(true)
	go func() {
		<-begun
		g.ReceiveUsages([]Usage{{Service: service, Stages: map[string]stage{"v1": stageSettled, "v2": stageSettled}, Revision: 100, Row: "100"}})
		close(done)
	}()
	g.Update(viewOf("v1", "v2"))
	<-done
	g.review(time.Now())
	assert.Equal(t, len(g.State().Unsettled), 0)
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(last), 0, "the balancer was told last that %v is unsettled", last)
}

// failing is a table of which one partition cannot be read.
type failing struct {
	*memory
	partition string
}

func (f failing) Partition(name string) store.Table {
	if name == f.partition {
		return unreadable{f.memory.part(name)}
	}
	return f.memory.Partition(name)
}

type unreadable struct{ memoryPart }

func (u unreadable) List(context.Context, string, string, int) ([]store.Row, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lists++
	return nil, fault.Newf(fault.KindUnavailable, "memory", "", "refused: too many calls")
}

// TestRefusedReadIsRepeatedForEachSearch has the store refuse the reads of one partition at
// once, as with 429.
func TestRefusedReadIsRepeatedForEachSearch(t *testing.T) {
	n := newNetwork(1)
	g := New(Options{Self: "entry-0", Peers: link{net: n, self: "entry-0"}, Table: failing{n.table, partitionName(2)}, Log: discardLog()})
	updateEntry(g, viewOf("v1", "v2"))
	before := n.table.lists
	began := time.Now()
	var searches sync.WaitGroup
	for i := range 100 {
		searches.Go(func() { find(g, fmt.Sprint(i)) })
	}
	searches.Wait()
	took := time.Since(began)
	lists := n.table.lists - before
	assert.Assert(t, lists <= partitions*(1+int(took/minLoadInterval)), "%d reads in %v", lists, took)
}

// TestIncompleteReadDropsRecordsOfCompleteOne has one partition be unreadable after a read of
// all.
func TestIncompleteReadDropsRecordsOfCompleteOne(t *testing.T) {
	n := newNetwork(2, "v1", "v2")
	n.entry("entry-0").Began(service, model, "s", "v1")
	save(t, n.entry("entry-0"))
	part := partitionOf("entry-0")
	n.remove("entry-0")
	g := n.entry("entry-1")
	_, origin := find(g, "s")
	assert.Equal(t, origin, Known)
	g.opts.Table = failing{n.table, part}
	g.stored.loaded = time.Time{}
	_, origin = find(g, "s")
	assert.Equal(t, origin, Known, "the record was read before")
}

// late is a table that performs the first write of a row of records only when told, and
// gives no answer to it.
type late struct {
	*memory
	held *func()
}

func (l late) Partition(name string) store.Table { return latePart{l.memory.part(name), l.held} }

type latePart struct {
	memoryPart
	held *func()
}

func (p latePart) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	if *p.held == nil {
		*p.held = func() { _, _ = p.memoryPart.PutIfAbsent(ctx, key, value) }
		return store.Row{}, fault.Newf(fault.KindUnknown, "memory", "", "no answer")
	}
	return p.memoryPart.PutIfAbsent(ctx, key, value)
}

// TestLateWriteRevertsRecords has a write without an answer be performed after a later write
// of the same row, and then all entries end.
func TestLateWriteRevertsRecords(t *testing.T) {
	n := newNetwork(1, "v1", "v2")
	g := n.entry("entry-0")
	var held func()
	g.opts.Table = late{n.table, &held}
	g.Began(service, model, "s", "v1")
	assert.Assert(t, g.save(context.Background()) != nil)
	g.Began(service, model, "s", "v2") // the attempt at v1 failed without an event
	assert.NilError(t, g.save(context.Background()))
	held()
	n.killAll("v1", "v2")
	assert.Assert(t, !joins(n.entry("entry-0"), "s"), "a stream of v2 goes on at v1")
}

// TestStreamsOfServiceWithoutModelsAreRefused resumes a stream of a service whose servers
// hold no models, at another entry, while one version is in use.
func TestStreamsOfServiceWithoutModelsAreRefused(t *testing.T) {
	n := newNetwork(3)
	for range 2 {
		for _, g := range n.entries {
			v := viewOf("v1")
			v.Config = &fleet.Config{Services: map[string]*fleet.Service{service: {}}}
			updateEntry(g, v)
		}
	}
	n.entry("entry-0").Began(service, model, "s", "v1")
	n.remove("entry-0")
	_, origin := find(n.entry("entry-1"), "s")
	assert.Assert(t, origin != Unknown)
}

// counting counts the writes of the table's unnamed partition, also those that conflict.
type counting struct {
	*memory
	calls *atomic.Int32
}

func (c counting) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	c.calls.Add(1)
	return c.memory.PutIfAbsent(ctx, key, value)
}

func (c counting) CompareAndSet(ctx context.Context, key, version string, value []byte) (store.Row, error) {
	c.calls.Add(1)
	return c.memory.CompareAndSet(ctx, key, version, value)
}

// TestRowThatCannotBeDecodedIsWrittenAgainAndAgain has the row of a service hold what another
// version of the entries, or another writer, left there.
func TestRowThatCannotBeDecodedIsWrittenAgainAndAgain(t *testing.T) {
	n := newNetwork(1)
	_, err := n.table.Put(context.Background(), usagePrefix+service, []byte(`{"v1":7}`))
	assert.NilError(t, err)
	var calls atomic.Int32
	g := New(Options{Self: "entry-0", Peers: link{net: n, self: "entry-0"}, Table: counting{n.table, &calls}, Log: discardLog()})
	g.Update(viewOf("v1"))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	g.RunUsages(ctx)
	assert.Assert(t, calls.Load() <= 5, "%d writes in a second", calls.Load())
	assert.Assert(t, g.State().Certain[service], "no stream without a record can be resumed")
}

// TestRepeatedCopiesDropOtherRecords has an entry send its copies again and again, as it does
// whenever its list of servers becomes too old. There are fewer streams than maxRecords.
func TestRepeatedCopiesDropOtherRecords(t *testing.T) {
	n := newNetwork(2, "v1", "v2")
	g := n.entry("entry-0")
	g.Began(service, model, "s", "v1")
	var m Records
	for i := range 10_000 {
		m.add(Record{Stream: Stream{Service: service, ID: fmt.Sprint(i)}, Software: "v1"})
	}
	for range 7 {
		g.Receive("entry-1", m)
	}
	_, found := g.table.find(Stream{Service: service, ID: "s"}, time.Now())
	assert.Assert(t, found, "the record of this entry, a moment old")
}

// TestNewVersionSettlesAtOnceWhenStoreLostRow has the store come back from a copy without the
// row, and then a third version register.
func TestNewVersionSettlesAtOnceWhenStoreLostRow(t *testing.T) {
	a, b := apart()
	table := a.opts.Table.(*memory)
	rows, version := table.copyOf()
	updateEntry(a, viewOf("v1"))
	updateEntry(b, viewOf("v1"))
	table.comeBack(rows, version)
	for range 3 { // the first write conflicts
		updateEntry(a, viewOf("v1", "v2"))
	}
	if len(a.State().Unsettled) > 0 {
		return // no resumable stream begins at v2
	}
	a.Began(service, model, "s", "v2")
	assert.Assert(t, !joins(b, "s"), "a stream of v2 goes on at v1")
}
