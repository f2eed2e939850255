package admission

import (
	"testing"
	"time"

	"peridotchute.example/routing"
)

func BenchmarkDecide(b *testing.B) {
	state := State{Queued: 10, QueueLimit: 100, FlowLimit: 50, TeamRate: 1000, Full: true, Wait: time.Second}
	request := Request{Deadline: time.Minute}
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		if Decide(state, request, now).Action == Reject {
			b.Fatal("rejected")
		}
	}
}

// BenchmarkPriorityQueue measures one arrival and one server change in a queue
// of 300 requests.
func BenchmarkPriorityQueue(b *testing.B) {
	servers, queue := newTestServers(20), NewLine[job]()
	for i := range servers.servers {
		servers.servers[i].Server.Batch.Sent(routing.Sending{Work: time.Second}, servers.now)
	}
	for i := range 300 {
		j := job{id: i, tokens: 4000, flow: uint64(i % 60), priority: i % 3}
		queue.Arrive(j, servers.waiter(j, 30*time.Second, time.Minute), servers.now, servers.offers)
	}
	servers.run(queue)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		j := job{id: -1, tokens: 4000, flow: uint64(i % 60)}
		queue.Arrive(j, servers.waiter(j, 30*time.Second, time.Minute), servers.now, servers.offers)
		queue.Changed("a")
		servers.run(queue)
		queue.Remove(func(j job) bool { return j.id < 0 })
	}
}
