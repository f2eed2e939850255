package link

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMeterClosesAtShareAndReopens(t *testing.T) {
	now := time.Now()
	m := NewMeter()
	m.Account(1<<40, now)
	assert.Assert(t, m.Open(now), "no cap")
	m.SetCap(3000, 3)
	assert.Assert(t, m.Open(now))
	m.Account(2500, now)
	assert.Assert(t, !m.Open(now))
	assert.Assert(t, !m.Open(now.Add(time.Second)))
	assert.Assert(t, m.Open(now.Add(2*time.Second)))
	m.SetCap(3000, 3)
	assert.Assert(t, !m.Open(now), "setting the same cap keeps the balance")
}
