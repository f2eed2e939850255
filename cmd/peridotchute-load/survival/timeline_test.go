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
		e := event{sent: at, answer: caller.Answer{Status: 200, Whole: true}}
		if at >= time.Second && at < 2*time.Second {
			e.answer.Status = 503
		}
		events = append(events, e)
	}
	line := newTimeline(events, time.Second)
	assert.Equal(t, line.share(0, time.Second), 1.0)
	assert.Equal(t, line.share(time.Second, 2*time.Second), 0.0)
	assert.Equal(t, line.failed(0, 4*time.Second), 20.0)
	assert.Equal(t, line.recovery(time.Second, 4*time.Second), time.Second)
	assert.Equal(t, line.recovery(3*time.Second, 4*time.Second), time.Duration(0))
	assert.Equal(t, len(line.points()), 16)
}

func TestLateAnswerIsNotGood(t *testing.T) {
	e := event{took: 2 * time.Second, answer: caller.Answer{Status: 200, Whole: true}}
	assert.Assert(t, !e.good(time.Second))
	assert.Assert(t, e.good(3*time.Second))
}
