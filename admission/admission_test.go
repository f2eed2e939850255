package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func TestDecide(t *testing.T) {
	patient := Request{Deadline: time.Minute}
	for _, tc := range []struct {
		name   string
		state  State
		action Action
		after  time.Duration
	}{
		{"idle", State{}, Admit, 0},
		{"team at its concurrency limit", State{TeamLimit: 2, TeamInFlight: 2}, Reject, time.Second},
		{"team above its rate limit", State{TeamRate: 1, TeamWait: 3 * time.Second}, Reject, 3 * time.Second},
		{"deadline too close", State{Wait: 2 * time.Minute}, Reject, time.Minute},
		{"servers full", State{Full: true, QueueLimit: 5}, Queue, 0},
		{"queue full", State{Full: true, QueueLimit: 5, Queued: 5, Wait: 4 * time.Second}, Reject, 4 * time.Second},
		{"flow full", State{Full: true, FlowLimit: 5, FlowQueued: 5}, Reject, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Decide(tc.state, patient, start)
			assert.Equal(t, got.Action, tc.action, got.Reason)
			assert.Equal(t, got.RetryAfter, tc.after)
		})
	}
}

func TestBucketReturnsWaitAboveRate(t *testing.T) {
	var b Bucket
	assert.Equal(t, b.Take(2, start), time.Duration(0))
	assert.Equal(t, b.Take(2, start), time.Duration(0))
	wait := b.Take(2, start)
	assert.Equal(t, wait, 500*time.Millisecond)
	assert.Equal(t, b.Take(2, start.Add(wait)), time.Duration(0))
}

func TestLimitAdaptsToServer(t *testing.T) {
	l := NewLimit(10, 2, 20)
	for i := range 400 {
		l.Observe(true, l.Value(), start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, l.Value(), 20)
	for i := range 400 {
		l.Observe(false, l.Value(), start.Add(time.Duration(1000+i)*time.Second))
	}
	assert.Equal(t, l.Value(), 2)
	l.Observe(true, 0, start)
	assert.Equal(t, l.Value(), 2, "an idle server doesn't change the limit")
}

func acceptAll(string) bool { return true }

func TestFairQueueHotTeamDoesNotStarveOthers(t *testing.T) {
	q := NewWaiting[string]()
	for range 100 {
		q.Push(Flow{Team: "hot", Model: "m"}, 1, "hot")
	}
	q.Push(Flow{Team: "calm", Model: "m"}, 1, "calm")
	q.Push(Flow{Team: "urgent", Model: "m"}, 0, "urgent")
	var got []string
	for range 3 {
		item, _ := q.Pop(acceptAll)
		got = append(got, item)
	}
	assert.DeepEqual(t, got, []string{"urgent", "hot", "calm"})
}

func TestFairQueueSkipsFlowThatIsNotReady(t *testing.T) {
	q := NewWaiting[string]()
	q.Push(Flow{Team: "t", Model: "full"}, 0, "full")
	q.Push(Flow{Team: "t", Model: "free"}, 0, "free")
	got, ok := q.Pop(func(s string) bool { return s == "free" })
	assert.Assert(t, ok)
	assert.Equal(t, got, "free")
	_, ok = q.Pop(func(s string) bool { return s == "free" })
	assert.Assert(t, !ok)
}

func TestFairQueuePopsEachItemOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewWaiting[int]()
		waiting := map[int]bool{}
		next := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				f := Flow{Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Model: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "model")}
				q.Push(f, rapid.IntRange(0, 2).Draw(t, "priority"), next)
				waiting[next] = true
				next++
			case 2:
				got, ok := q.Pop(func(int) bool { return true })
				assert.Equal(t, ok, len(waiting) > 0)
				assert.Equal(t, waiting[got], ok)
				delete(waiting, got)
			case 3:
				odd := rapid.IntRange(0, 1).Draw(t, "odd")
				q.Remove(func(i int) bool { return i%2 == odd })
				for i := range waiting {
					if i%2 == odd {
						delete(waiting, i)
					}
				}
			}
			assert.Equal(t, q.Len(), len(waiting))
		}
	})
}
