package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start0 = time.Unix(1000, 0)

func TestReaderIsTheLowestNamed(t *testing.T) {
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
		assert.Equal(t, Reader(tc.self, tc.peers), tc.want)
	}
}

func TestNextReading(t *testing.T) {
	tests := []struct {
		name            string
		self            string
		attempted, asOf time.Duration // after start0
		want            time.Duration
	}{
		{name: "the reader goes by its own readings", self: "a", attempted: 0, asOf: 0, want: ReaderInterval},
		{name: "the second waits for news", self: "b", attempted: 0, asOf: time.Second, want: time.Second + FreshLimit},
		{name: "the third lets the second go first", self: "c", asOf: time.Second, want: time.Second + FreshLimit + readerStagger},
		{name: "a failed reading is not repeated at once", self: "b", attempted: 2 * time.Second, asOf: 0, want: 2*time.Second + ReaderInterval},
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
			got := NextReading(tc.self, peers, start0.Add(tc.attempted), start0.Add(tc.asOf))
			assert.Equal(t, got.Sub(start0), tc.want)
		})
	}
}

func TestWaitForTheReaderIsBounded(t *testing.T) {
	var peers []string
	for i := range 300 {
		peers = append(peers, fmt.Sprintf("a-%d", i))
	}
	got := NextReading("z", peers, start0, start0)
	assert.Equal(t, got.Sub(start0), FreshLimit+maxStagger)
}

func TestMessagesOfAProcessAreCapped(t *testing.T) {
	for _, peers := range []int{1, 3, 24, 379} {
		t.Run(fmt.Sprint(peers, " peers"), func(t *testing.T) {
			rate := float64(peers) / updateInterval(true, peers).Seconds()
			assert.Assert(t, rate <= maxMessagesPerSecond*1.001, "%f a second", rate)
			assert.Assert(t, updateInterval(false, peers) >= updateInterval(true, peers))
			assert.Assert(t, heartbeat(peers) >= updateInterval(false, peers))
			assert.Assert(t, patience(heartbeat(peers)) >= heartbeatsMissed*heartbeat(peers))
		})
	}
	assert.Equal(t, patience(heartbeat(3)), silenceLimit)
}

// TestLoadArrivesAsTold plays random loads over one connection, with servers
// that come and go, and compares what arrives with what was told.
func TestLoadArrivesAsTold(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	said, heard, totals := newSaidLoad(), heardLoad{}, map[string]Totals{}
	for round := range 500 {
		var now []ServerLoad
		want := map[string]Totals{}
		for i := range 12 {
			if rng.IntN(3) == 0 {
				continue
			}
			l := ServerLoad{ID: fmt.Sprint("s", i+round/50), Requests: rng.IntN(2), Prefill: rng.IntN(2) * 70}
			now = append(now, l)
			if !l.idle() {
				want[l.ID] = Totals{Requests: l.Requests, Prefill: l.Prefill}
			}
		}
		var u update
		said.add(&u, now)
		heard.apply(&u, totals)
		assert.DeepEqual(t, totals, want)
		var again update
		said.add(&again, now)
		assert.Assert(t, again.empty(), "the same load is told twice")
	}
	assert.Assert(t, said.next <= 24, "indexes are used again, yet %d were given", said.next)
	heard.drop(totals)
	assert.Equal(t, len(totals), 0)
}

func none(string) bool { return false }

func row(name, version string) listedRow {
	return listedRow{id: Identity{Name: name, Address: name + ":1"}, version: version}
}

func TestUnreachableEntriesAreForgotten(t *testing.T) {
	ms := newMembers("m")
	ms.list(map[string]listedRow{"a": row("a", "1"), "b": row("b", "2"), "m": row("m", "3")}, start0)
	assert.DeepEqual(t, ms.names(), []string{"a", "b"})
	ms.connected("b")
	late := start0.Add(forgetAfter)
	assert.Equal(t, len(ms.forget(none, late.Add(-time.Second))), 0)
	assert.Equal(t, len(ms.forget(func(name string) bool { return name == "a" }, late)), 0)
	gone := ms.forget(none, late)
	assert.Equal(t, len(gone), 1)
	assert.Equal(t, gone[0].id.Name, "a")
	assert.Equal(t, gone[0].version, "1")
	ms.list(map[string]listedRow{"b": row("b", "2")}, late)
	ms.forget(none, late)
	assert.DeepEqual(t, ms.names(), []string{"b"})
}

func TestARowWrittenAnewIsASignOfLife(t *testing.T) {
	ms := newMembers("m")
	ms.list(map[string]listedRow{"a": row("a", "1")}, start0)
	ms.list(map[string]listedRow{"a": row("a", "2")}, start0.Add(forgetAfter-time.Second))
	assert.Equal(t, len(ms.forget(none, start0.Add(forgetAfter))), 0)
	assert.Equal(t, len(ms.forget(none, start0.Add(2*forgetAfter))), 1)
}

func TestWhatAnEntrySaysOfItselfGoesBeforeRows(t *testing.T) {
	ms := newMembers("m")
	self := Identity{Name: "a", Address: "new:1", Incarnation: "2"}
	ms.learn(self, true, start0)
	ms.connected("a")
	ms.list(map[string]listedRow{"a": row("a", "1")}, start0)
	assert.Equal(t, ms.all["a"].id, self)
	ms.disconnected("a", start0)
	ms.list(map[string]listedRow{"a": row("a", "1")}, start0)
	assert.Equal(t, ms.all["a"].id, self, "an old row is read again")
	ms.list(map[string]listedRow{"a": row("a", "7")}, start0)
	assert.Equal(t, ms.all["a"].id.Address, "a:1", "a row that is newer")
}

func TestOnlyNewerDocumentsAreNews(t *testing.T) {
	held := document{version: 5, asOf: start0}
	tests := []struct {
		name string
		d    document
		want bool
	}{
		{name: "newer", d: document{version: 6, asOf: start0.Add(-time.Hour)}, want: true},
		{name: "older", d: document{version: 4, asOf: start0.Add(time.Hour)}, want: false},
		{name: "same", d: held, want: false},
		{name: "same, a little fresher", d: document{version: 5, asOf: start0.Add(fresher / 2)}, want: false},
		{name: "same, fresher", d: document{version: 5, asOf: start0.Add(fresher)}, want: true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) { assert.Equal(t, tc.d.ahead(held), tc.want) })
	}
}
