package crashguard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
	"peridotchute.example/platform"
	"peridotchute.example/platform/platformtest"
	"peridotchute.example/store"
)

// Parts of the prompts in these tests.
const (
	firstPart = 1
	badPart   = 3 // servers crash on it
)

// network connects the guards of several entries within the test.
type network struct {
	t     *testing.T
	table store.Table

	mu     sync.Mutex
	guards map[string]*Guard
	cut    map[string]bool // entries without connections
}

func newNetwork(t *testing.T, table store.Table) *network {
	return &network{t: t, table: table, guards: map[string]*Guard{}, cut: map[string]bool{}}
}

// start starts the guard of an entry.
func (n *network) start(name string) *Guard {
	log := logrus.New()
	log.SetOutput(n.t.Output())
	g := New(Options{Self: name, Peers: link{n, name}, Table: n.table, Events: log})
	n.mu.Lock()
	n.guards[name] = g
	n.mu.Unlock()
	for _, run := range []func(context.Context){g.Run, g.RunChecks, g.RunRows} {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { run(ctx) })
		n.t.Cleanup(func() {
			cancel()
			running.Wait()
		})
	}
	return g
}

// isolate cuts an entry off from the others, or connects it again.
func (n *network) isolate(name string, cut bool) {
	n.mu.Lock()
	n.cut[name] = cut
	guards := n.connected(name)
	n.mu.Unlock()
	for other, g := range guards {
		g.PeerConnected(name)
		n.guards[name].PeerConnected(other)
	}
}

// connected returns the guards to which an entry is connected. The caller holds mu.
func (n *network) connected(name string) map[string]*Guard {
	out := map[string]*Guard{}
	for other, g := range n.guards {
		if other != name && !n.cut[other] && !n.cut[name] {
			out[other] = g
		}
	}
	return out
}

// link implements Peers for one entry of a network. Messages arrive in goroutines of their
// own.
type link struct {
	net  *network
	self string
}

func (l link) Connected() []string {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	var names []string
	for name := range l.net.connected(l.self) {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (l link) Complete() bool {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	return len(l.net.connected(l.self)) == len(l.net.guards)-1
}

func (l link) broadcast(deliver func(*Guard)) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	for _, g := range l.net.connected(l.self) {
		go deliver(g)
	}
}

func (l link) BroadcastCrash(r CrashReport) { l.broadcast(func(g *Guard) { g.ReceiveCrash(r) }) }

func (l link) BroadcastCleared(c ClearedCauses) { l.broadcast(func(g *Guard) { g.ReceiveCleared(c) }) }

func (l link) BroadcastEntries(e Entries) {
	l.broadcast(func(g *Guard) { g.ReceiveEntries(l.self, e) })
}

func (l link) SendEntries(peer string, e Entries) {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if g := l.net.connected(l.self)[peer]; g != nil {
		go g.ReceiveEntries(l.self, e)
	}
}

// server returns a server whose address refuses connections.
func crashedServer(t *testing.T, i int) *fleet.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	return &fleet.Server{ID: fmt.Sprint("i-", i), Service: "llm", Address: l.Addr().String()}
}

// crash lets the guards in turn lose a request with badPart at a server of its own, each
// sent after the loss before it was known.
func crash(t *testing.T, n int, guards ...*Guard) {
	t.Helper()
	for i := range n {
		g := guards[i%len(guards)]
		before := g.State().Crashes
		sent := time.Now()
		g.Lost(crashedServer(t, i), quarantine.Lost{ID: fmt.Sprint("r", i), Digest: uint64(i + 1), Parts: []uint64{firstPart, badPart, uint64(100 + i)}, Sent: sent})
		for _, other := range guards {
			waitFor(t, "the crash is known", func() bool { return other.State().Crashes > before })
		}
	}
}

func waitFor(t *testing.T, condition string, met func() bool) {
	t.Helper()
	const limit, pause = 15 * time.Second, 2 * time.Millisecond
	for started := time.Now(); !met(); time.Sleep(pause) {
		if time.Since(started) > limit {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

func refused(g *Guard) bool { return g.Check(withParts(7, badPart)) != nil }

// withParts returns a request with the parts, and with a digest that no other has.
func withParts(parts ...uint64) quarantine.Contents {
	digest := 1<<32 + digests.Add(1)
	return quarantine.Contents{Service: "llm", Parts: parts, Digest: func() uint64 { return digest }}
}

var digests atomic.Uint64

const crashes = 3 // enough for a finding

// TestEvidenceOfAllEntriesCounts lets each of three entries see one crash.
func TestEvidenceOfAllEntriesCounts(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, nil)
	a, b, c := n.start("a"), n.start("b"), n.start("c")
	a.Answered(withParts(firstPart))
	crash(t, crashes, a, b, c)
	for _, g := range []*Guard{a, b, c} {
		waitFor(t, "the entry refuses the part", func() bool { return refused(g) })
		assert.Assert(t, g.Check(withParts(firstPart, 99)) == nil)
	}
}

// TestReconnectedEntryLearns cuts an entry off while the others find the part.
func TestReconnectedEntryLearns(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, nil)
	a, b, c := n.start("a"), n.start("b"), n.start("c")
	n.isolate("c", true)
	a.Answered(withParts(firstPart))
	crash(t, crashes, a, b)
	waitFor(t, "the others refuse the part", func() bool { return refused(a) && refused(b) })
	assert.Assert(t, !refused(c))
	n.isolate("c", false)
	waitFor(t, "the entry refuses the part", func() bool { return refused(c) })
}

// TestSeparatedEntryLearnsFromStore never connects an entry to those that find the part.
func TestSeparatedEntryLearnsFromStore(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, newTable(t))
	a, c := n.start("a"), n.start("c")
	n.isolate("c", true)
	a.Answered(withParts(firstPart))
	crash(t, crashes, a)
	waitFor(t, "the entry refuses the part", func() bool { return refused(c) })
}

// TestAnswerReleasesPart answers a request with a part that was quarantined meanwhile.
func TestAnswerReleasesPart(t *testing.T) {
	t.Parallel()
	table := newTable(t)
	n := newNetwork(t, table)
	a, b := n.start("a"), n.start("b")
	a.Answered(withParts(firstPart))
	crash(t, crashes, a, b)
	waitFor(t, "both refuse the part", func() bool { return refused(a) && refused(b) })
	b.Answered(withParts(firstPart, badPart))
	waitFor(t, "both send the part", func() bool { return !refused(a) && !refused(b) })
	waitFor(t, "the release is stored", func() bool { return a.State().Unsaved+b.State().Unsaved == 0 })
	c := n.start("c")
	waitFor(t, "the new entry knows of the release", func() bool { return len(c.State().Parts) == 1 })
	assert.Assert(t, !refused(c))
}

// TestQueuedRequestOfQuarantinedPartEnds watches requests while a part is quarantined.
func TestQueuedRequestOfQuarantinedPartEnds(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, nil)
	a := n.start("a")
	watch := func(begun bool, parts ...uint64) context.Context {
		ctx, stop := a.Watch(t.Context(), withParts(parts...), func() bool { return begun })
		t.Cleanup(stop)
		return ctx
	}
	queued, begun, other := watch(false, firstPart, badPart), watch(true, firstPart, badPart), watch(false, firstPart)
	a.Answered(withParts(firstPart))
	crash(t, crashes, a)
	waitFor(t, "the queued request ends", func() bool { return queued.Err() != nil })
	var cause *QuarantinedError
	assert.Assert(t, errors.As(context.Cause(queued), &cause))
	assert.Equal(t, cause.Cause, quarantine.Part(badPart))
	assert.NilError(t, begun.Err())
	assert.NilError(t, other.Err())
	assert.ErrorContains(t, watch(false, badPart).Err(), "canceled") // a request that comes later
}

// TestQueuedRepeatOfCrashingRequestEnds watches requests while the request that they repeat is found.
func TestQueuedRepeatOfCrashingRequestEnds(t *testing.T) {
	t.Parallel()
	const badRequest = 77
	n := newNetwork(t, nil)
	a, b := n.start("a"), n.start("b")
	bad := quarantine.Contents{Service: "llm", Digest: func() uint64 { return badRequest }}
	watch := func(c quarantine.Contents) context.Context {
		ctx, stop := b.Watch(t.Context(), c, func() bool { return false })
		t.Cleanup(stop)
		return ctx
	}
	repeat, other := watch(bad), watch(withParts())
	a.Answered(withParts())
	for i := range crashes {
		a.Lost(crashedServer(t, i), quarantine.Lost{ID: fmt.Sprint("r", i), Digest: badRequest, Sent: time.Now()})
		waitFor(t, "the crash is known", func() bool { return a.State().Crashes > i })
	}
	waitFor(t, "the repeat ends", func() bool { return repeat.Err() != nil })
	assert.NilError(t, other.Err())
	assert.Equal(t, b.Check(bad).Cause, quarantine.Request(badRequest))
	assert.Equal(t, a.Quarantined(quarantine.WholeRequest), 1)
	a.Answered(bad) // by a server that had begun before
	waitFor(t, "both send the request again", func() bool { return a.Check(bad) == nil && b.Check(bad) == nil })
}

// TestBrokenConnectionIsNoCrash loses requests at a server that still accepts connections.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	t.Parallel()
	n := newNetwork(t, nil)
	a := n.start("a")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	accepted := make(chan struct{}, len(dialDelays))
	go func() {
		for range dialDelays {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
			accepted <- struct{}{}
		}
	}()
	a.Lost(&fleet.Server{ID: "i-1", Address: l.Addr().String()}, quarantine.Lost{ID: "r1", Parts: []uint64{badPart}})
	for range dialDelays {
		<-accepted
	}
	crash(t, 1, a) // checked after the one above has ended
	assert.Equal(t, a.State().Crashes, 1)
}

// TestQuarantineIsStoredAfterOutage finds a part while the store is away.
func TestQuarantineIsStoredAfterOutage(t *testing.T) {
	t.Parallel()
	s := platformtest.NewStore(t)
	n := newNetwork(t, platform.NewTable(platform.Settings{Address: s.Address}))
	a := n.start("a")
	s.SetFault(platformtest.StoreUnavailable)
	a.Answered(withParts(firstPart))
	crash(t, crashes, a)
	waitFor(t, "the entry refuses the part", func() bool { return refused(a) })
	assert.Equal(t, a.State().Unsaved, 1)
	s.SetFault(platformtest.StoreUp)
	waitFor(t, "the part is stored", func() bool { return a.State().Unsaved == 0 })
	b := newNetwork(t, n.table).start("b")
	waitFor(t, "another entry reads it", func() bool { return refused(b) })
}

// TestBadRowsAreIgnored puts rows that cannot be decoded, or expired long ago, beside a good
// one.
func TestBadRowsAreIgnored(t *testing.T) {
	t.Parallel()
	table := newTable(t)
	put := func(key, value string) {
		_, err := table.Put(t.Context(), key, []byte(value))
		assert.NilError(t, err)
	}
	put(rowPrefix+"xyz", `{"changes":1}`)
	put(rowPrefix+"1", `not JSON`)
	put(rowPrefix+"2", `{"changes":1,"until_ms":1000}`)
	put(rowPrefix+"3", fmt.Sprintf(`{"changes":1,"until_ms":%d}`, time.Now().Add(time.Hour).UnixMilli()))
	a := newNetwork(t, table).start("a")
	waitFor(t, "the good row is read", func() bool { return refused(a) })
	assert.Equal(t, len(a.State().Parts), 1)
	waitFor(t, "the expired row is removed", func() bool {
		rows, err := table.List(t.Context(), rowPrefix, "", maxRows)
		assert.NilError(t, err)
		return len(rows) == 3
	})
}

// TestOddRowQuarantinesPart puts rows with numbers that no entry writes: one cannot be released,
// one is renewed by each read, and one has fewer changes than none.
func TestOddRowQuarantinesPart(t *testing.T) {
	t.Parallel()
	table := newTable(t)
	soon := time.Now().Add(time.Minute).UnixMilli()
	for key, value := range map[string]string{
		"1": fmt.Sprintf(`{"changes":9223372036854775807,"until_ms":%d}`, soon),
		"2": `{"changes":1,"until_ms":9223372036854775807}`,
		"3": fmt.Sprintf(`{"changes":-1,"until_ms":%d}`, soon),
		"4": fmt.Sprintf(`{"changes":1e400,"until_ms":%d}`, soon),
		"5": strings.Repeat("[", 1_000_000),
		"6": fmt.Sprintf(`{"changes":1,"until_ms":%d}`, soon), // a good one
	} {
		_, err := table.Put(t.Context(), rowPrefix+key, []byte(value))
		assert.NilError(t, err)
	}
	a := newNetwork(t, table).start("a")
	waitFor(t, "the good row is read", func() bool { return len(a.State().Parts) > 0 })
	parts := a.State().Parts
	assert.Equal(t, len(parts), 1, "%+v", parts)
	assert.Equal(t, parts[0].Part, decisionlog.FormatPart(6))
}

func newTable(t *testing.T) store.Table {
	t.Helper()
	return platform.NewTable(platform.Settings{Address: platformtest.NewStore(t).Address})
}
