package gate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDelayIsAwaitingRequestsTimesFirstByteGap(t *testing.T) {
	now := time.Unix(1000, 0)
	var d delayEstimator
	for range 200 {
		d.begin(now)
		now = now.Add(100 * time.Millisecond)
		d.end(true, now)
		now = now.Add(time.Second)
	}
	assert.Equal(t, d.expected(), time.Duration(0), "an idle server makes nobody wait")
	for range 3 {
		d.begin(now)
	}
	wait := d.expected()
	assert.Assert(t, wait > 280*time.Millisecond && wait < 320*time.Millisecond, "%v", wait)
	for range 3 {
		d.end(false, now)
	}
	assert.Equal(t, d.expected(), time.Duration(0))
}
