package report

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/rpc"
)

func TestReportsStayWithinTheBudget(t *testing.T) {
	for _, peers := range []int{0, 1, 3, 20, 100, 380} {
		minInterval, maxInterval := Intervals(peers)
		assert.Assert(t, minInterval >= checkInterval && maxInterval >= heartbeatInterval && maxInterval >= minInterval)
		bytes := float64(peers*reportBytes) / minInterval.Seconds()
		assert.Assert(t, bytes <= 4096, "%d entries cost %.0f B/s", peers, bytes)
	}
}

func TestOnlyAChangeOfStateIgnoresTheMinimumInterval(t *testing.T) {
	const minInterval, maxInterval = time.Second, 4 * time.Second
	last := rpc.Report{State: rpc.StateServing, Seq: 1}
	r := &Reporter{last: last}
	load, drain := last, last
	load.InFlight = 3
	drain.State = rpc.StateDraining
	tests := []struct {
		name      string
		next      rpc.Report
		sinceLast time.Duration
		want      bool
	}{
		{"nothing new", last, 2 * time.Second, false},
		{"nothing new for long", last, maxInterval, true},
		{"load too soon", load, minInterval / 2, false},
		{"load", load, minInterval, true},
		{"drain", drain, 0, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, r.due(tc.next, tc.sinceLast, minInterval, maxInterval), tc.want)
		})
	}
}
