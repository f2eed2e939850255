package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func TestBacklogShrinksWithTimeAndProgress(t *testing.T) {
	var b Batch
	long, brief := Sending{Priority: 1, Work: 240 * ms, Tokens: 9000}, Sending{Work: 20 * ms, Tokens: 700}
	b.Sent(long, start)
	b.Sent(brief, start.Add(50*ms))
	assert.Equal(t, b.Backlog(start.Add(100*ms)), 160*ms)
	assert.Equal(t, b.Backlog(start.Add(300*ms)), 65*ms, "work remains until a first event shows that it is done")
	b.Started(long, start.Add(200*ms))
	assert.Equal(t, b.Backlog(start.Add(200*ms)), 20*ms)
	b.Ended(brief, false, start.Add(210*ms))
	b.Ended(long, true, start.Add(220*ms))
	assert.Equal(t, b.Load(start.Add(220*ms)), Load{})
}

func TestStalledServerBacklogGrows(t *testing.T) {
	var b Batch
	b.Sent(Sending{Work: 100 * ms}, start)
	assert.Equal(t, b.Backlog(start.Add(500*ms)), 25*ms)
	b.Hear("a", Load{}, start, start.Add(time.Second))
	assert.Equal(t, b.Backlog(start.Add(1200*ms)), 725*ms, "a report of another entry is no progress of the server")
	assert.Assert(t, !b.Silent(start.Add(1200*ms)))
	assert.Assert(t, b.Silent(start.Add(1201*ms)))
	b.Started(Sending{Work: 100 * ms}, start.Add(1300*ms))
	assert.Assert(t, !b.Silent(start.Add(time.Minute)))
}

func TestPeerLoadExpires(t *testing.T) {
	var b Batch
	b.Hear("a", Load{Waiting: 1, Work: 100 * ms, Tokens: 10}, start, start)
	b.Hear("b", Load{Running: 2, Tokens: 20}, start.Add(time.Second), start.Add(time.Second))
	b.Hear("a", Load{Waiting: 2, Work: 80 * ms, Tokens: 30}, start, start.Add(time.Second))
	assert.Equal(t, b.Load(start.Add(time.Second)), Load{Waiting: 2, Running: 2, Work: 80 * ms, Tokens: 50})
	assert.Equal(t, b.Load(start.Add(peerLoadTTL)), Load{Running: 2, Tokens: 20})
	assert.Equal(t, b.Load(start.Add(2*peerLoadTTL)), Load{})
}

func TestPeerWorkShrinksLikeOwnWork(t *testing.T) {
	var b Batch
	b.Hear("a", Load{Waiting: 1, Work: 100 * ms}, start, start.Add(10*ms))
	b.Hear("b", Load{Waiting: 1, Work: 100 * ms}, start.Add(10*ms), start.Add(10*ms))
	b.Sent(Sending{Work: 200 * ms}, start.Add(10*ms))
	assert.Equal(t, b.Backlog(start.Add(10*ms)), 397500*time.Microsecond, "half of the work was reported, 5 ms ago on average")
	assert.Equal(t, b.Backlog(start.Add(110*ms)), 297500*time.Microsecond)
	assert.Equal(t, b.Own(start.Add(110*ms)).Work, 150*ms, "the server makes equal progress on all work")
}

func TestPrefixCacheCountsWholeLeadingParts(t *testing.T) {
	c := NewPrefixes().Server()
	p := sharedPrompt(1, 2)
	c.Add(&p, 100_000)
	assert.Equal(t, c.Tokens(&p), 9190)
	other := sharedPrompt(1, 3)
	assert.Equal(t, c.Tokens(&other), 6300)
	adapter := NewPrompt("m1/a1", []Part{{ID: 1, Tokens: 2500}}, 2500, 1, perToken)
	assert.Equal(t, c.Tokens(&adapter), 0, "cached parts belong to one model and adapter")
	longer := NewPrompt("m1", []Part{{ID: 1, Tokens: 2600}, {ID: 1001, Tokens: 3800}}, 6400, 1, perToken)
	assert.Equal(t, c.Tokens(&longer), 2500, "a part that has grown ends the cached prefix")
}

func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	x := NewPrefixes()
	c := x.Server()
	for own := range uint64(4) {
		p := sharedPrompt(1, 10+own)
		c.Add(&p, 12_100)
	}
	first, last := sharedPrompt(1, 10), sharedPrompt(1, 13)
	assert.Equal(t, c.Tokens(&first), 6300)
	assert.Equal(t, c.Tokens(&last), 9190)
	assert.Equal(t, c.tokens, 12_080)
	c.DropArtifact(ArtifactKey("m2"))
	assert.Equal(t, c.Tokens(&last), 9190)
	c.DropArtifact(ArtifactKey("m1"))
	assert.Equal(t, c.tokens, 0)
	assert.Assert(t, cmp.Len(x.newest, 0))
}

func TestModelAndServerSpeedAreLearnedSeparately(t *testing.T) {
	var prefillTime Pace
	var slow, usual Health
	work := func() time.Duration { return 9000 * prefillTime.PerToken() }
	for i := range 200 {
		now := start.Add(time.Duration(i) * 50 * ms)
		took := 54 * ms // 6 µs per token: a small model
		for server, measured := range map[*Health]time.Duration{&usual: took, &slow: took * 4} {
			expected := time.Duration(float64(work()) * server.Slowness(now))
			server.prefilled(work(), expected, measured, now)
			if !server.Suspect(now) {
				prefillTime.observe(work(), expected, measured)
			}
		}
	}
	now := start.Add(10 * time.Second)
	ratio := slow.Slowness(now) / usual.Slowness(now)
	assert.Assert(t, ratio > 3 && ratio < 5, "ratio %v", ratio)
	assert.Assert(t, prefillTime.PerToken() < 15*time.Microsecond, "per token %v", prefillTime.PerToken())
	assert.Assert(t, slow.Slowness(now.Add(time.Minute)) < 1.1, "the slowness decays without measurements")
}

func TestStaleCountsAreCorrectedByOwnRequests(t *testing.T) {
	var b Batch
	for range 4 {
		b.Sent(Sending{}, start)
	}
	for range 300 {
		b.Hear("a", Load{Waiting: 4}, start, start)
	}
	for range 4 {
		b.Sent(Sending{}, start)
	}
	assert.Equal(t, b.InProgress(15*ms, start), 12, "just reported")
	assert.Equal(t, b.InProgress(15*ms, start.Add(150*ms)), 14, "own share of one half, own weight of almost one half")
	assert.Equal(t, b.InProgress(time.Minute, start.Add(150*ms)), 12, "long requests are still there")
}

func TestPeerTotalsStayExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Batch
		now, sent := start, map[string]Load{}
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "gap")) * ms)
			entry := string(rune('a' + rapid.IntRange(0, 5).Draw(t, "entry")))
			sent[entry] = Load{Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"), Work: time.Duration(rapid.IntRange(0, 300).Draw(t, "work")) * ms}
			b.Hear(entry, sent[entry], now, now)
		}
		var want Load
		for _, l := range sent {
			want.add(&l)
		}
		assert.Equal(t, b.Load(now), want)
		assert.Assert(t, !b.othersAt.After(now) && now.Sub(b.othersAt) < peerLoadTTL, "reported %v ago", now.Sub(b.othersAt))
		assert.Equal(t, b.Load(now.Add(peerLoadTTL)), Load{})
	})
}

func BenchmarkPeerLoad(b *testing.B) {
	var batch Batch
	names := make([]string, 25)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := start.Add(time.Duration(i) * 10 * ms)
		batch.Hear(names[i%len(names)], Load{Work: time.Duration(i%100) * ms}, now, now)
	}
}
