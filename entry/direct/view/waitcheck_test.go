package view

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// at returns a time so many milliseconds after an arbitrary start.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func TestWaitIsRenewedWhenStoreAnswersAgain(t *testing.T) {
	c := waitCheck{}
	c.begin(at(0))
	assert.Equal(t, c.readAnswered(at(100)), renewNone)
	assert.Assert(t, c.readFailed(at(5000), at(6500)))
	assert.Assert(t, !c.readFailed(at(6500), at(8000)), "it is in doubt already")
	assert.Equal(t, c.doubted(at(8500)), 2*time.Second)
	assert.Equal(t, c.readAnswered(at(8000)), renewLost)
	assert.Equal(t, c.readAnswered(at(8600)), renewNone, "it is renewed once")
	c.begin(at(8010))
	assert.Equal(t, c.doubted(at(9000)), time.Duration(0))
	assert.Equal(t, c.readAnswered(at(9000)), renewNone)
}

// TestPeerShowsThatStoreAnswersAgain has peers' reads before, during and after a read that
// got no answer.
func TestPeerShowsThatStoreAnswersAgain(t *testing.T) {
	c := waitCheck{}
	c.begin(at(0))
	assert.Equal(t, c.readAnswered(at(10)), renewNone)
	c.readFailed(at(1000), at(2500))
	assert.Equal(t, c.readAnswered(at(900)), renewNone, "read before the silence")
	assert.Equal(t, c.readAnswered(at(2000)), renewLost)
}

// TestReadsInCalmRenewNothing has answered reads, of this entry and of peers.
func TestReadsInCalmRenewNothing(t *testing.T) {
	c := waitCheck{}
	c.begin(at(0))
	for ms := 0; ms < 20_000; ms += 600 {
		assert.Equal(t, c.readAnswered(at(ms)), renewNone)
	}
}

func TestWaitThatMissedChangeIsRenewedOnce(t *testing.T) {
	c := waitCheck{}
	assert.Equal(t, c.missed(), renewNone, "there is no wait")
	c.begin(at(0))
	assert.Equal(t, c.missed(), renewMissed)
	assert.Equal(t, c.missed(), renewNone)
	c.begin(at(10))
	c.readFailed(at(20), at(1520))
	assert.Equal(t, c.missed(), renewMissed)
	assert.Equal(t, c.readAnswered(at(1530)), renewNone, "it is renewed already")
}

func TestFailureBetweenWaitsDoubtsNothing(t *testing.T) {
	c := waitCheck{}
	c.begin(at(0))
	c.end()
	assert.Assert(t, !c.readFailed(at(100), at(1600)))
	c.begin(at(2000))
	assert.Equal(t, c.readAnswered(at(2100)), renewNone)
}

// TestWaitCheckInvariant runs random sequences of waits and reads. A wait must be renewed,
// once, exactly if one of this entry's reads failed during it and a later read was answered,
// or if it has missed a change.
func TestWaitCheckInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, m := waitCheck{}, waitModel{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += rapid.IntRange(1, 2000).Draw(t, "pause")
			requested := m.now
			switch rapid.SampledFrom([]string{"begin", "end", "failed", "answered", "missed"}).Draw(t, "step") {
			case "begin":
				c.begin(at(m.now))
				m.waiting, m.inDoubt, m.renewed = true, false, false
			case "end":
				c.end()
				m.waiting = false
			case "failed":
				m.now += rapid.IntRange(1, 1500).Draw(t, "timeout")
				assert.Equal(t, c.readFailed(at(requested), at(m.now)), m.waiting && !m.inDoubt)
				m.inDoubt = m.waiting
			case "answered":
				assert.Equal(t, c.readAnswered(at(requested)), m.renew(m.inDoubt, renewLost))
			case "missed":
				assert.Equal(t, c.missed(), m.renew(true, renewMissed))
			}
		}
	})
}

// waitModel restates the rules of waitCheck for reads that do not overlap, in milliseconds.
type waitModel struct {
	now     int
	waiting bool
	inDoubt bool
	renewed bool
}

func (m *waitModel) renew(due bool, reason renewal) renewal {
	if !due || !m.waiting || m.renewed {
		return renewNone
	}
	m.renewed = true
	return reason
}
