package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const perToken = initialPerToken

// sharedPrompt returns a prompt with two shared parts and a unique one.
func sharedPrompt(common, own uint64) Prompt {
	parts := []Part{{ID: common, Tokens: 2500}, {ID: common + 1000, Tokens: 3800}, {ID: own, Tokens: 2890}}
	return NewPrompt("m1", parts, 9190, 60, perToken)
}

func shortPrompt(own uint64) Prompt {
	return NewPrompt("m1", []Part{{ID: own, Tokens: 600}}, 600, 290, perToken)
}

func newReplicas(n int) ([]Replica, *PrefixCaches) {
	prefixes := NewPrefixCaches()
	out := make([]Replica, n)
	for i := range out {
		out[i].Server = NewEngineServer(fmt.Sprintf("s%03d", i), 64, 240_000, prefixes.NewCache())
	}
	return out, prefixes
}

func sendPrompt(s *EngineServer, p *Prompt, now time.Time) SentRequest {
	sent := SentRequest{Work: p.Work(s.PrefixCache.Tokens(p)), Tokens: p.Memory()}
	s.Batch.Sent(sent, now)
	s.PrefixCache.Add(p, s.KVTokens)
	return sent
}

func mustChooseEngine(t *testing.T, r []Replica, x *PrefixCaches, p Prompt) EngineChoice {
	t.Helper()
	choice, err := ChooseEngine(r, x, &p, start)
	assert.NilError(t, err)
	return choice
}

func TestLongPromptOutweighsManyShortOnes(t *testing.T) {
	r, x := newReplicas(2)
	long := sharedPrompt(1, 2)
	sendPrompt(r[0].Server, &long, start)
	for i := range uint64(5) {
		p := shortPrompt(100 + i)
		sendPrompt(r[1].Server, &p, start)
	}
	assert.Equal(t, mustChooseEngine(t, r, x, shortPrompt(99)).Index, 1)
}

func TestCachedPrefixIsPreferredUntilServerIsBusy(t *testing.T) {
	r, x := newReplicas(3)
	first := sharedPrompt(1, 10)
	sent := sendPrompt(r[2].Server, &first, start)
	r[2].Server.Batch.Started(sent, start)
	got := mustChooseEngine(t, r, x, sharedPrompt(1, 11))
	assert.Equal(t, got.Index, 2)
	assert.Equal(t, got.Cached, 6300)
	assert.Equal(t, got.Reason, reasonCached)
	for i := range uint64(8) {
		p := sharedPrompt(1, 20+i)
		sendPrompt(r[2].Server, &p, start)
	}
	assert.Assert(t, mustChooseEngine(t, r, x, sharedPrompt(1, 12)).Index != 2)
}

func TestEntriesAgreeOnHomeWithoutCacheState(t *testing.T) {
	homes := map[int]int{}
	for common := range uint64(40) {
		a, x := newReplicas(5)
		b, y := newReplicas(5)
		b[0], b[4] = b[4], b[0]
		first := mustChooseEngine(t, a, x, sharedPrompt(common*7, 1))
		other := mustChooseEngine(t, b, y, sharedPrompt(common*7, 2))
		assert.Equal(t, first.Server.Name, other.Server.Name)
		homes[first.Index]++
	}
	assert.Equal(t, len(homes), 5, "homes are spread over all servers")
}

func TestBusyHomeIsSkipped(t *testing.T) {
	r, x := newReplicas(3)
	home := mustChooseEngine(t, r, x, sharedPrompt(1, 1)).Index
	for i := range uint64(3) {
		p := sharedPrompt(50+i, 50+i)
		sendPrompt(r[home].Server, &p, start)
	}
	assert.Assert(t, mustChooseEngine(t, r, x, sharedPrompt(1, 1)).Index != home)
}

func TestMemoryOverflowIsAvoided(t *testing.T) {
	r, x := newReplicas(2)
	r[0].Server.Batch.SetPeerLoad("other", Load{Running: 30, Tokens: 236_000}, start, start)
	p := sharedPrompt(1, 2)
	r[0].Server.PrefixCache.Add(&p, 240_000)
	got := mustChooseEngine(t, r, x, p)
	assert.Equal(t, got.Index, 1)
	assert.Assert(t, !got.Overflow)
	r[1].Server.Usable = false
	assert.Assert(t, mustChooseEngine(t, r, x, p).Overflow)
}

func TestRequestLargerThanAnyMemoryIsTooLarge(t *testing.T) {
	r, x := newReplicas(2)
	r[0].Server.KVTokens = 1000
	assert.Assert(t, !mustChooseEngine(t, r, x, sharedPrompt(1, 2)).TooLarge)
	r[1].Server.KVTokens = 1000
	assert.Assert(t, mustChooseEngine(t, r, x, sharedPrompt(1, 2)).TooLarge)
}

func TestLessUrgentPromptYieldsToUrgentAnswers(t *testing.T) {
	r, x := newReplicas(1)
	b := &r[0].Server.Batch
	b.Sent(SentRequest{Priority: 1, Work: time.Minute}, start.Add(-10*time.Second))
	p := shortPrompt(1)
	p.Priority = 1
	assert.Assert(t, !mustChooseEngine(t, r, x, p).Yield, "no urgent request is running")
	b.Sent(SentRequest{}, start)
	assert.Assert(t, mustChooseEngine(t, r, x, p).Yield)
	p.Priority = 0
	assert.Assert(t, !mustChooseEngine(t, r, x, p).Yield)
}

func TestFailingServerIsProbedLater(t *testing.T) {
	r, x := newReplicas(2)
	bad := r[0].Server
	for range 4 {
		bad.Health.Failed(start)
	}
	assert.Equal(t, mustChooseEngine(t, r, x, shortPrompt(1)).Index, 1)
	later := start.Add(6 * time.Second)
	busy := sharedPrompt(9, 9)
	for range 2 {
		sendPrompt(r[1].Server, &busy, later)
	}
	probe := shortPrompt(2)
	got, err := ChooseEngine(r, x, &probe, later)
	assert.NilError(t, err)
	assert.Equal(t, got.Index, 0, "the penalty decays")
}

func TestStalledServerIsAvoidedForSeconds(t *testing.T) {
	r, x := newReplicas(2)
	r[0].Server.Health.Stalled(start)
	for i := range uint64(8) {
		p := sharedPrompt(50+i, 50+i)
		sendPrompt(r[1].Server, &p, start)
	}
	assert.Equal(t, mustChooseEngine(t, r, x, shortPrompt(1)).Index, 1)
	p := shortPrompt(1)
	got, err := ChooseEngine(r, x, &p, start.Add(4*time.Second))
	assert.NilError(t, err)
	assert.Equal(t, got.Index, 0, "the server is tried again if the other one is busy")
}

func TestChooseEngineSkipsUnusableAndExcludedServers(t *testing.T) {
	r, x := newReplicas(2)
	r[0].Server.Usable = false
	p := shortPrompt(1)
	p.Exclude = "s001"
	_, err := ChooseEngine(r, x, &p, start)
	assert.ErrorIs(t, err, ErrNoServer)
}

func TestLoadTimeCountsAsWait(t *testing.T) {
	r, x := newReplicas(2)
	r[0].Load = time.Second
	got := mustChooseEngine(t, r, x, shortPrompt(1))
	assert.Equal(t, got.Index, 1)
	r[1].Server.Usable = false
	got = mustChooseEngine(t, r, x, shortPrompt(1))
	assert.Equal(t, got.Reason, reasonLoading)
	assert.Assert(t, got.Wait > time.Second)
}

func TestChooseEngineAllocatesNothing(t *testing.T) {
	r, x := newReplicas(600)
	p := sharedPrompt(1, 2)
	r[5].Server.PrefixCache.Add(&p, 240_000)
	got := testing.AllocsPerRun(100, func() { _, _ = ChooseEngine(r, x, &p, start) })
	assert.Equal(t, got, 0.0)
}

func BenchmarkChooseEngine(b *testing.B) {
	for _, cached := range []bool{false, true} {
		b.Run(fmt.Sprintf("servers=600/kept=%v", cached), func(b *testing.B) {
			r, x := newReplicas(600)
			p := sharedPrompt(1, 2)
			for i := range r {
				r[i].Server.Batch.SetPeerLoad("other", Load{Waiting: i % 7, Running: i % 60, Work: time.Duration(i%7) * 50 * time.Millisecond, Tokens: i * 100}, start, start)
				if cached && i%3 == 0 {
					r[i].Server.PrefixCache.Add(&p, 240_000)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ChooseEngine(r, x, &p, start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
