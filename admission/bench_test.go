package admission

import (
	"testing"
	"time"
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
