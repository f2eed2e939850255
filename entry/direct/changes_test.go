package direct

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/entry/direct/orders"
)

func TestChangeQueueKeepsNewestOfEachServer(t *testing.T) {
	q := newChangeQueue()
	for seq := range int64(10) {
		for server := range 3 {
			q.add(fmt.Sprintf("s%d", server), orders.ServerUpdate{OrderSeq: seq})
		}
	}
	<-q.added
	changes := q.take()
	assert.Equal(t, len(changes), 3)
	for _, c := range changes {
		assert.Equal(t, c.Change.OrderSeq, int64(9))
	}
	assert.Equal(t, len(q.take()), 0)
	assert.Equal(t, len(q.added), 0)
}

// TestDemandReportsOfAllEntriesAreBounded counts the reports that the lease holder gets.
func TestDemandReportsOfAllEntriesAreBounded(t *testing.T) {
	for _, entries := range []int{1, 5, 18, 103, 400} {
		received := float64(entries-1) / demandInterval(entries-1).Seconds()
		assert.Assert(t, received <= maxDemandReports, "%d entries: %.0f a second", entries, received)
		assert.Assert(t, demandInterval(entries-1) >= minDemandInterval)
	}
}
