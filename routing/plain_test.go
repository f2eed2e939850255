package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newPlainServers(n int) []*PlainServer {
	out := make([]*PlainServer, n)
	for i := range out {
		out[i] = NewPlainServer(fmt.Sprintf("p%d", i), 6)
	}
	return out
}

func TestChoosePlain(t *testing.T) {
	near, far := DirectCosts.Distance("r", "a", "r", "a"), DirectCosts.Distance("r", "a", "q", "b")
	for _, tc := range []struct {
		name   string
		set    func([]*PlainServer)
		expect int
	}{
		{"a near server is preferred", func(s []*PlainServer) { s[0].RoundTrip, s[1].RoundTrip, s[2].RoundTrip = far, near, far }, 1},
		{"a far server is preferred to a full near one", func(s []*PlainServer) {
			s[0].RoundTrip = far
			s[1].Batch.Hear("b", Load{Waiting: 15}, start, start)
			s[2].Usable = false
		}, 0},
		{"requests of all entries count", func(s []*PlainServer) {
			s[0].Batch.Hear("b", Load{Waiting: 3}, start, start)
			s[0].Batch.Sent(Sending{}, start)
			s[1].Batch.Hear("b", Load{Waiting: 5}, start, start)
			s[2].Batch.Hear("b", Load{Waiting: 6}, start, start)
		}, 0},
		{"a failing server is avoided", func(s []*PlainServer) {
			for range 4 {
				s[0].Health.Failed(start)
				s[1].Health.Failed(start)
			}
			s[2].Batch.Hear("b", Load{Waiting: 20}, start, start)
		}, 2},
		{"a slow server is avoided", func(s []*PlainServer) {
			for range 10 {
				s[0].Health.answered(15*ms, 110*ms, start)
				s[1].Health.answered(15*ms, 110*ms, start)
			}
			s[2].Batch.Hear("b", Load{Waiting: 4}, start, start)
		}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			servers := newPlainServers(3)
			tc.set(servers)
			got, err := ChoosePlain(servers, PlainRequest{Usual: 15 * ms, Draw: 1}, start)
			assert.NilError(t, err)
			assert.Equal(t, got.Index, tc.expect)
		})
	}
}

func TestPlainRequestsSpreadOverEqualServers(t *testing.T) {
	servers := newPlainServers(3)
	seen := map[int]int{}
	for draw := range uint64(300) {
		got, err := ChoosePlain(servers, PlainRequest{Usual: 15 * ms, Draw: scramble(draw + 1)}, start)
		assert.NilError(t, err)
		seen[got.Index]++
	}
	for i := range servers {
		assert.Assert(t, seen[i] > 60, "server %d got %d of 300", i, seen[i])
	}
}

func TestSuspectPlainServerGetsOneProbe(t *testing.T) {
	servers := newPlainServers(2)
	for range 2 {
		servers[0].Health.Failed(start)
	}
	now := start.Add(penaltyHalfLife / 8)
	servers[1].Batch.Hear("b", Load{Waiting: 200}, now, now)
	got, err := ChoosePlain(servers, PlainRequest{Usual: 15 * ms}, now)
	assert.NilError(t, err)
	assert.Equal(t, got.Index, 0)
	assert.Equal(t, got.Reason, "probe of a suspect server")
	servers[0].Batch.Sent(Sending{}, now)
	got, err = ChoosePlain(servers, PlainRequest{Usual: 15 * ms}, now)
	assert.NilError(t, err)
	assert.Equal(t, got.Index, 1, "one probe at a time")
}

func TestServiceTimeIsLearned(t *testing.T) {
	var u Usual
	server := NewPlainServer("p", 6)
	for range 200 {
		u.Answered(&PlainChoice{Server: server, Wait: server.Wait(&PlainRequest{Usual: u.Time()}, start)}, 60*ms, start)
	}
	took := server.Wait(&PlainRequest{Usual: u.Time()}, start)
	assert.Assert(t, took > 55*ms && took < 65*ms, "expected wait %v", took)
	for range 50 {
		u.Answered(&PlainChoice{Server: server, Backlog: ms, Wait: took}, time.Second, start)
	}
	assert.Equal(t, server.Wait(&PlainRequest{Usual: u.Time()}, start), took, "queued requests don't change the usual time")
}
