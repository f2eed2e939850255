package survival

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/cmd/peridotchute-load/caller"
)

func TestTimelineOfLossAndRecovery(t *testing.T) {
	var events []event
	for at := time.Duration(0); at < 4*time.Second; at += 50 * time.Millisecond {
		e := event{sent: at, resp: caller.Response{Status: 200, Complete: true}}
		if at >= time.Second && at < 2*time.Second {
			e.resp.Status = 503
		}
		events = append(events, e)
	}
	tl := newTimeline(events, time.Second)
	assert.Equal(t, tl.goodShare(0, time.Second), 1.0)
	assert.Equal(t, tl.goodShare(time.Second, 2*time.Second), 0.0)
	assert.Equal(t, tl.failed(0, 4*time.Second), 20.0)
	assert.Equal(t, tl.recoveryTime(time.Second, 4*time.Second), time.Second)
	assert.Equal(t, tl.recoveryTime(3*time.Second, 4*time.Second), time.Duration(0))
	assert.Equal(t, len(tl.goodputPoints()), 16)
}

func TestLateResponseIsNotGood(t *testing.T) {
	e := event{duration: 2 * time.Second, resp: caller.Response{Status: 200, Complete: true}}
	assert.Assert(t, !e.good(time.Second))
	assert.Assert(t, e.good(3*time.Second))
}
