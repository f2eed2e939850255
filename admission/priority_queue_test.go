package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/routing"
)

const ms = time.Millisecond

// testServers simulates servers of one model whose requests take prefill only.
type testServers struct {
	now     time.Time
	servers []routing.Replica
}

type job struct {
	id       int
	priority int
	tokens   int
	flow     uint64
}

func newTestServers(n int) *testServers {
	b := &testServers{now: start}
	for i := range n {
		s := routing.NewEngineServer(string(rune('a'+i)), 64, 1_000_000, nil)
		b.servers = append(b.servers, routing.Replica{Server: s})
	}
	return b
}

func (s *testServers) offers(j job, planned bool) (Offer, bool) {
	p := routing.NewPrompt("m", []routing.Part{{ID: uint64(j.id), Tokens: j.tokens}}, j.tokens, 10, 25*time.Microsecond)
	p.Priority, p.Planned = j.priority, planned
	choice, err := routing.ChooseEngine(s.servers, nil, &p, s.now)
	if err != nil {
		return Offer{}, false
	}
	return EngineOffer(&choice), true
}

func (s *testServers) waiter(j job, objective, deadline time.Duration) Waiter {
	return Waiter{
		Kind: string(rune('0' + j.priority)), Flow: j.flow, Priority: j.priority,
		Arrived: s.now, Objective: s.now.Add(objective), Deadline: s.now.Add(deadline),
	}
}

// run calls Next until it returns false, sends the admitted requests and returns
// the verdicts in order.
func (s *testServers) run(q *PriorityQueue[job]) []Outcome[job] {
	var all []Outcome[job]
	for out, ok := q.Next(s.now, s.offers); ok; out, ok = q.Next(s.now, s.offers) {
		if out.Action == Admit {
			out.Offer.Batch.Sent(routing.SentRequest{Work: out.Offer.Work}, s.now)
		}
		all = append(all, out)
	}
	return all
}

// finish records the first event and the end of a request with the given work at
// a server.
func (s *testServers) finish(q *PriorityQueue[job], server int, work time.Duration) {
	batch := &s.servers[server].Server.Batch
	batch.Started(routing.SentRequest{Work: work}, s.now)
	batch.Ended(routing.SentRequest{}, true, s.now)
	q.ServerChanged(s.servers[server].Server.Name)
}

func ids(outs []Outcome[job]) []int {
	var out []int
	for _, o := range outs {
		out = append(out, o.Item.id)
	}
	return out
}

func TestIdleServerAdmitsImmediately(t *testing.T) {
	s, q := newTestServers(1), NewPriorityQueue[job]()
	j := job{id: 1, tokens: 4000}
	assert.Equal(t, q.Enqueue(j, s.waiter(j, 800*ms, 5*time.Second), s.now, s.offers).Action, Queue)
	got := s.run(q)
	assert.DeepEqual(t, ids(got), []int{1})
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, s.servers[0].Server.Batch.OwnLoad(s.now).Reserved, [routing.Priorities]time.Duration{})
}

func TestServerBacklogIsBounded(t *testing.T) {
	s, q := newTestServers(1), NewPriorityQueue[job]()
	for i := range 8 {
		j := job{id: i, tokens: 4000} // 100 ms each
		q.Enqueue(j, s.waiter(j, 2*time.Second, 5*time.Second), s.now, s.offers)
	}
	assert.Equal(t, len(s.run(q)), 3, "each is sent with a backlog of at most 240 ms")
	s.now = s.now.Add(100 * ms)
	s.finish(q, 0, 100*ms)
	assert.DeepEqual(t, ids(s.run(q)), []int{3})
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	s, q := newTestServers(1), NewPriorityQueue[job]()
	busy := job{id: 99, tokens: 40_000}
	q.Enqueue(busy, s.waiter(busy, 8*time.Second, 20*time.Second), s.now, s.offers)
	s.run(q)
	for i, priority := range []int{2, 1, 0, 1, 0} {
		j := job{id: i, tokens: 1000, priority: priority}
		q.Enqueue(j, s.waiter(j, 4*time.Second, 9*time.Second), s.now, s.offers)
	}
	assert.Equal(t, len(s.run(q)), 0)
	s.now = s.now.Add(time.Second)
	s.finish(q, 0, time.Second)
	assert.DeepEqual(t, ids(s.run(q)), []int{2, 4, 1, 3, 0})
}

func TestHopelessRequestIsRejectedWithRetryAfter(t *testing.T) {
	s, q := newTestServers(1), NewPriorityQueue[job]()
	s.servers[0].Server.Batch.Sent(routing.SentRequest{Work: 10 * time.Second}, s.now)
	j := job{id: 1, tokens: 4000}
	out := q.Enqueue(j, s.waiter(j, 800*ms, 6*time.Second), s.now, s.offers)
	assert.Equal(t, out.Action, Reject)
	assert.Equal(t, out.RetryAfter, 2*time.Second, "a third of the time left")
	assert.Equal(t, q.Len(), 0)
}

func TestResumedStreamGoesBeforeNewRequests(t *testing.T) {
	s, q := newTestServers(1), NewPriorityQueue[job]()
	s.servers[0].Server.Batch.Sent(routing.SentRequest{Work: time.Second}, s.now)
	for i, resumed := range []bool{false, false, true} {
		j := job{id: i, tokens: 4000}
		w := s.waiter(j, 2*time.Second, 3*time.Second)
		if w.Resumed = resumed; resumed {
			w.Objective = s.now.Add(400 * ms)
		}
		assert.Equal(t, q.Enqueue(j, w, s.now, s.offers).Action, Queue)
	}
	s.now = s.now.Add(100 * ms)
	s.finish(q, 0, time.Second)
	assert.Equal(t, ids(s.run(q))[0], 2)
}

// TestOverdueResumedStreamWaitsBehindNewRequests has a broken stream whose next event is overdue
// when it is queued, behind requests that can still be on time.
func TestOverdueResumedStreamWaitsBehindNewRequests(t *testing.T) {
	s, q := newTestServers(1), NewPriorityQueue[job]()
	s.servers[0].Server.Batch.Sent(routing.SentRequest{Work: time.Second}, s.now)
	for i, resumed := range []bool{false, false, true} {
		j := job{id: i, tokens: 4000}
		w := s.waiter(j, 4*time.Second, 5*time.Second)
		if w.Resumed = resumed; resumed {
			w.Objective = s.now.Add(-ms)
		}
		assert.Equal(t, q.Enqueue(j, w, s.now, s.offers).Action, Queue)
	}
	s.now = s.now.Add(100 * ms)
	s.finish(q, 0, time.Second)
	assert.Equal(t, ids(s.run(q))[0], 2)
}

func TestRequestWaitsForModelThatLoadsInTime(t *testing.T) {
	for load, want := range map[time.Duration]Action{2 * time.Second: Queue, 7 * time.Second: Reject} {
		s, q := newTestServers(1), NewPriorityQueue[job]()
		s.servers[0].Load = load
		j := job{id: 1, tokens: 4000}
		assert.Equal(t, q.Enqueue(j, s.waiter(j, 800*ms, 6*time.Second), s.now, s.offers).Action, want)
		assert.Equal(t, len(s.run(q)), 0)
		s.servers[0].Load = 0
		q.ServerChanged("a")
		assert.Equal(t, len(s.run(q)) == 1, want == Queue)
	}
}

func TestHopelessRequestsAreRejectedAfterServerLoss(t *testing.T) {
	s, q := newTestServers(2), NewPriorityQueue[job]()
	for i := range 60 {
		j := job{id: i, tokens: 4000}
		q.Enqueue(j, s.waiter(j, 4*time.Second, 5*time.Second), s.now, s.offers)
	}
	s.run(q)
	waiting := q.Len()
	assert.Assert(t, waiting > 30)
	s.servers[1].Server.Usable = false
	q.ServersLost()
	rejected := s.run(q)
	assert.Assert(t, len(rejected) > 0 && len(rejected) < waiting, "rejected %d of %d", len(rejected), waiting)
	for _, out := range rejected {
		assert.Equal(t, out.Action, Reject)
	}
}

func TestNoKindIsStarved(t *testing.T) {
	s, q := newTestServers(1), NewPriorityQueue[job]()
	arrived, admitted := [2]int{}, [2]int{}
	for i := range 2000 { // 10 ms apart, 20 ms of work each: twice the server's capacity
		s.now = s.now.Add(10 * ms)
		if i%2 == 0 {
			s.finish(q, 0, 20*ms)
		}
		j := job{id: i, tokens: 800, priority: min(i%5/4, 1)}
		arrived[j.priority]++
		q.Enqueue(j, s.waiter(j, 500*ms, 2*time.Second), s.now, s.offers)
		for _, out := range s.run(q) {
			if out.Action == Admit {
				admitted[out.Item.priority]++
			}
		}
	}
	all := float64(admitted[0]+admitted[1]) / float64(arrived[0]+arrived[1])
	urgent, other := float64(admitted[0])/float64(arrived[0]), float64(admitted[1])/float64(arrived[1])
	assert.Assert(t, other >= all/4, "%v of %v", other, all)
	assert.Assert(t, urgent > other)
}

func TestQueueDecidesEachRequestOnceAndReleasesReservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, q := newTestServers(2), NewPriorityQueue[job]()
		open := map[int]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "requests") {
			s.now = s.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * ms)
			j := job{id: i, tokens: rapid.IntRange(1, 20_000).Draw(t, "tokens"), priority: rapid.IntRange(0, 2).Draw(t, "priority"), flow: uint64(i % 3)}
			w := s.waiter(j, 800*ms, time.Duration(rapid.IntRange(1, 4000).Draw(t, "deadline"))*ms)
			w.Session = uint64(i % 4)
			if q.Enqueue(j, w, s.now, s.offers).Action == Queue {
				open[i] = true
			}
			for _, out := range s.run(q) {
				assert.Assert(t, open[out.Item.id])
				delete(open, out.Item.id)
			}
			assert.Equal(t, q.Len(), len(open))
		}
		q.Remove(func(job) bool { return true })
		s.now = s.now.Add(time.Minute)
		s.run(q)
		assert.Equal(t, q.Len(), 0)
		for _, r := range s.servers {
			assert.Equal(t, r.Server.Batch.OwnLoad(s.now).Reserved, [routing.Priorities]time.Duration{})
		}
	})
}
