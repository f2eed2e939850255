package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(1000, 0)

func TestRegistryReaderHasLowestName(t *testing.T) {
	tests := []struct {
		self  string
		peers []string
		want  string
	}{
		{self: "b", want: "b"},
		{self: "b", peers: []string{"c", "d"}, want: "b"},
		{self: "b", peers: []string{"c", "a"}, want: "a"},
	}
	for _, tc := range tests {
		assert.Equal(t, RegistryReader(tc.self, tc.peers), tc.want)
	}
}

func TestNextReadTime(t *testing.T) {
	tests := []struct {
		name            string
		self            string
		attempted, asOf time.Duration // after testStart
		want            time.Duration
	}{
		{name: "the reader uses the time of its own last read", self: "a", attempted: 0, asOf: 0, want: ReaderInterval},
		{name: "the second waits until its list is too old", self: "b", attempted: 0, asOf: time.Second, want: time.Second + MaxRegistryAge},
		{name: "the third waits longer than the second", self: "c", asOf: time.Second, want: time.Second + MaxRegistryAge + readerStagger},
		{name: "a failed read is not retried immediately", self: "b", attempted: 2 * time.Second, asOf: 0, want: 2*time.Second + ReaderInterval},
	}
	all := []string{"a", "b", "c"}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var peers []string
			for _, name := range all {
				if name != tc.self {
					peers = append(peers, name)
				}
			}
			got := NextRead(tc.self, peers, testStart.Add(tc.attempted), testStart.Add(tc.asOf))
			assert.Equal(t, got.Sub(testStart), tc.want)
		})
	}
}

func TestReaderStaggerIsBounded(t *testing.T) {
	var peers []string
	for i := range 300 {
		peers = append(peers, fmt.Sprintf("a-%d", i))
	}
	got := NextRead("z", peers, testStart, testStart)
	assert.Equal(t, got.Sub(testStart), MaxRegistryAge+maxStagger)
}

func TestUpdateRateIsCapped(t *testing.T) {
	for _, peers := range []int{1, 3, 24, 379} {
		t.Run(fmt.Sprint(peers, " peers"), func(t *testing.T) {
			rate := float64(peers) / updateInterval(true, peers).Seconds()
			assert.Assert(t, rate <= maxMessagesPerSecond*1.001, "%f updates per second", rate)
			assert.Assert(t, updateInterval(false, peers) >= updateInterval(true, peers))
			assert.Assert(t, heartbeatInterval(peers) >= updateInterval(false, peers))
			assert.Assert(t, peerTimeout(heartbeatInterval(peers)) >= maxMissedHeartbeats*heartbeatInterval(peers))
		})
	}
	assert.Equal(t, peerTimeout(heartbeatInterval(3)), silenceTimeout)
}

// TestReceivedLoadMatchesSentLoad plays random loads over one connection, with servers
// that appear and disappear, and compares the received load with the sent one.
func TestReceivedLoadMatchesSentLoad(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	sent, received, totals := newSentLoad(), receivedLoad{}, map[string]Totals{}
	for round := range 500 {
		var now []ServerLoad
		want := map[string]Totals{}
		for i := range 12 {
			if rng.IntN(3) == 0 {
				continue
			}
			l := ServerLoad{ID: fmt.Sprint("s", i+round/50), Requests: rng.IntN(2), Prefill: rng.IntN(2) * 70}
			now = append(now, l)
			if !l.zero() {
				want[l.ID] = Totals{Requests: l.Requests, Prefill: l.Prefill}
			}
		}
		var u update
		sent.addDelta(&u, now)
		received.apply(&u, totals)
		assert.DeepEqual(t, totals, want)
		var again update
		sent.addDelta(&again, now)
		assert.Assert(t, again.empty(), "unchanged load is sent again")
	}
	assert.Assert(t, sent.nextIndex <= 24, "%d indexes were assigned; freed ones should be reused", sent.nextIndex)
	var last update
	sent.addDelta(&last, nil)
	received.apply(&last, totals)
	assert.Equal(t, len(totals), 0)
}

func noPeer(string) bool { return false }

func row(name, version string) listedRow {
	return listedRow{id: Identity{Name: name, Address: name + ":1"}, version: version}
}

func TestUnreachableEntriesExpire(t *testing.T) {
	ms := newMembers("m")
	ms.mergeRows(map[string]listedRow{"a": row("a", "1"), "b": row("b", "2"), "m": row("m", "3")}, testStart)
	assert.DeepEqual(t, ms.names(), []string{"a", "b"})
	ms.markConnected("b")
	late := testStart.Add(expireAfter)
	assert.Equal(t, len(ms.expire(noPeer, late.Add(-time.Second))), 0)
	assert.Equal(t, len(ms.expire(func(name string) bool { return name == "a" }, late)), 0)
	expired := ms.expire(noPeer, late)
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].id.Name, "a")
	assert.Equal(t, expired[0].version, "1")
	ms.mergeRows(map[string]listedRow{"b": row("b", "2")}, late)
	ms.expire(noPeer, late)
	assert.DeepEqual(t, ms.names(), []string{"b"})
}

func TestRewrittenRowRenewsMember(t *testing.T) {
	ms := newMembers("m")
	ms.mergeRows(map[string]listedRow{"a": row("a", "1")}, testStart)
	ms.mergeRows(map[string]listedRow{"a": row("a", "2")}, testStart.Add(expireAfter-time.Second))
	assert.Equal(t, len(ms.expire(noPeer, testStart.Add(expireAfter))), 0)
	assert.Equal(t, len(ms.expire(noPeer, testStart.Add(2*expireAfter))), 1)
}

func TestEntryIdentityTakesPrecedenceOverRows(t *testing.T) {
	ms := newMembers("m")
	self := Identity{Name: "a", Address: "new:1", Incarnation: "2"}
	ms.addOrUpdate(self, true, testStart)
	ms.markConnected("a")
	ms.mergeRows(map[string]listedRow{"a": row("a", "1")}, testStart)
	assert.Equal(t, ms.all["a"].id, self)
	ms.markDisconnected("a", testStart)
	ms.mergeRows(map[string]listedRow{"a": row("a", "1")}, testStart)
	assert.Equal(t, ms.all["a"].id, self, "an unchanged row is read again")
	ms.mergeRows(map[string]listedRow{"a": row("a", "7")}, testStart)
	assert.Equal(t, ms.all["a"].id.Address, "a:1", "a newer row is read")
}

func TestDocumentNewerThan(t *testing.T) {
	current := document{version: 5, asOf: testStart}
	tests := []struct {
		name string
		d    document
		want bool
	}{
		{name: "newer", d: document{version: 6, asOf: testStart.Add(-time.Hour)}, want: true},
		{name: "older", d: document{version: 4, asOf: testStart.Add(time.Hour)}, want: false},
		{name: "same", d: current, want: false},
		{name: "same, slightly more recent", d: document{version: 5, asOf: testStart.Add(minAgeRenewal / 2)}, want: false},
		{name: "same, more recent", d: document{version: 5, asOf: testStart.Add(minAgeRenewal)}, want: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, tc.d.newerThan(current), tc.want) })
	}
}

// TestOtherSideOfALongSplitIsNotCounted drops entries that have been out of reach for long.
// They may go on retrying on the other side of a split.
func TestOtherSideOfALongSplitIsNotCounted(t *testing.T) {
	m := New(options(t, "b"))
	m.rowsRead = true
	for _, name := range []string{"a", "c"} {
		m.members.addOrUpdate(Identity{Name: name, Address: name + ":1"}, false, testStart)
	}
	counted := func(at time.Duration) int {
		m.members.expire(noPeer, testStart.Add(at))
		n, _ := m.entriesAt(testStart.Add(at))
		return n
	}
	assert.Equal(t, counted(expireAfter-time.Second), 3)
	assert.Equal(t, counted(expireAfter), 3)
	assert.Equal(t, len(m.members.all), 0, "they are no longer dialed")
	assert.Equal(t, counted(expireAfter+rememberFor-time.Second), 3)
	assert.Equal(t, counted(expireAfter+rememberFor), 1, "they are gone for good")
	m.members.addOrUpdate(Identity{Name: "a", Address: "a:1"}, true, testStart)
	n, rank := m.entriesAt(testStart)
	assert.Equal(t, n, 2)
	assert.Equal(t, rank, 1)
}
