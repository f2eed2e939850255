package front

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDurationsOfKind(t *testing.T) {
	d := newDurations()
	for i := range minDurationSamples - 1 {
		d.observe("chat", time.Duration(i)*time.Second)
	}
	assert.Equal(t, d.of("chat"), kindDuration{}, "too few are known")
	d.observe("chat", time.Minute)
	assert.Equal(t, d.of("chat"), kindDuration{usual: time.Minute, longest: time.Minute})
	assert.Equal(t, d.of("book"), kindDuration{})
	for range durationSamples {
		d.observe("chat", time.Second)
	}
	assert.Equal(t, d.of("chat"), kindDuration{usual: time.Second, longest: time.Second}, "older ones count")
}

func TestDurationsAreBounded(t *testing.T) {
	d := newDurations()
	for i := range 3 * maxDurationKinds {
		d.observe(fmt.Sprint(i), time.Second)
	}
	assert.Assert(t, len(d.kinds) <= maxDurationKinds)
}
