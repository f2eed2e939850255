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
	assert.Equal(t, c.begin(at(0)), longWait)
	assert.Equal(t, c.readAnswered(at(100)), renewNone)
	assert.Assert(t, c.readFailed(at(5000), at(6500)))
	assert.Assert(t, !c.readFailed(at(6500), at(8000)), "it is in doubt already")
	assert.Equal(t, c.doubted(at(8500)), 2*time.Second)
	assert.Equal(t, c.readAnswered(at(8000)), renewLost)
	assert.Equal(t, c.readAnswered(at(8600)), renewNone, "it is renewed once")
	c.begin(at(8010))
	assert.Equal(t, c.doubted(at(9000)), time.Duration(0))
	assert.Equal(t, c.peerAnswered(at(9000)), renewNone)
}

// TestPeerShowsThatStoreAnswersAgain has peers' reads before, during and after a read that
// got no answer.
func TestPeerShowsThatStoreAnswersAgain(t *testing.T) {
	c := waitCheck{}
	c.begin(at(0))
	assert.Equal(t, c.peerAnswered(at(10)), renewNone)
	c.readFailed(at(1000), at(2500))
	assert.Equal(t, c.peerAnswered(at(900)), renewNone, "read before the silence")
	assert.Equal(t, c.peerAnswered(at(2000)), renewLost)
}

// TestReadsInCalmRenewNothing has answered reads of peers, and one of this entry as when a
// list is late.
func TestReadsInCalmRenewNothing(t *testing.T) {
	c := waitCheck{}
	c.begin(at(0))
	for ms := 0; ms < 20_000; ms += 600 {
		assert.Equal(t, c.peerAnswered(at(ms)), renewNone)
	}
	assert.Equal(t, c.readAnswered(at(20_000)), renewNone)
	assert.Equal(t, c.begin(at(20_010)), longWait)
}

func TestWaitOfRegularReaderIsShort(t *testing.T) {
	c := waitCheck{}
	c.begin(at(0))
	assert.Equal(t, c.readAnswered(at(600)), renewNone)
	assert.Equal(t, c.readAnswered(at(1200)), renewReader)
	assert.Equal(t, c.begin(at(1210)), shortWait)
	assert.Equal(t, c.readAnswered(at(1800)), renewNone, "it is short already")
	assert.Equal(t, c.begin(at(1900)), shortWait)
	c.end()
	assert.Equal(t, c.begin(at(6000)), longWait, "it no longer reads")
}

func TestFailureBetweenWaitsDoubtsNothing(t *testing.T) {
	c := waitCheck{}
	c.begin(at(0))
	c.end()
	assert.Assert(t, !c.readFailed(at(100), at(1600)))
	c.begin(at(2000))
	assert.Equal(t, c.readAnswered(at(2100)), renewNone)
}

// TestWaitCheckInvariant runs random sequences of waits and reads. A wait must be renewed
// exactly if one of this entry's reads failed during it and a later read was answered, or
// if it is long while this entry reads regularly.
func TestWaitCheckInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, m := waitCheck{}, waitModel{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += rapid.IntRange(1, 2000).Draw(t, "pause")
			requested := m.now
			switch rapid.SampledFrom([]string{"begin", "end", "failed", "own", "peer"}).Draw(t, "step") {
			case "begin":
				assert.Equal(t, c.begin(at(m.now)), m.begin())
			case "end":
				c.end()
				m.waiting = false
			case "failed":
				m.now += rapid.IntRange(1, 1500).Draw(t, "timeout")
				assert.Equal(t, c.readFailed(at(requested), at(m.now)), m.waiting && !m.inDoubt)
				m.readFailed()
			case "own":
				assert.Equal(t, c.readAnswered(at(requested)), m.readAnswered(requested))
			case "peer":
				assert.Equal(t, c.peerAnswered(at(requested)), m.peerAnswered())
			}
		}
	})
}

// waitModel restates the rules of waitCheck for reads that do not overlap, in milliseconds.
type waitModel struct {
	now       int
	waiting   bool
	short     bool
	inDoubt   bool
	renewed   bool
	ownReads  []int // starts of the answered reads since the last failed one
	regularAt int   // start of the last read that followed another soon; 0 if the last did not
}

func (m *waitModel) begin() time.Duration {
	m.waiting, m.inDoubt, m.renewed = true, false, false
	m.short = m.regularAt > 0 && m.now-m.regularAt <= int(regularGap.Milliseconds())
	if m.short {
		return shortWait
	}
	return longWait
}

func (m *waitModel) readFailed() {
	m.ownReads, m.regularAt = nil, 0
	m.inDoubt = m.waiting
}

func (m *waitModel) peerAnswered() renewal { return m.renew(m.inDoubt, renewLost) }

func (m *waitModel) readAnswered(ms int) renewal {
	m.ownReads, m.regularAt = append(m.ownReads, ms), 0
	if n := len(m.ownReads); n > 1 && ms-m.ownReads[n-2] <= int(regularGap.Milliseconds()) {
		m.regularAt = ms
	}
	if reason := m.peerAnswered(); reason != renewNone {
		return reason
	}
	return m.renew(m.regularAt > 0 && !m.short, renewReader)
}

func (m *waitModel) renew(due bool, reason renewal) renewal {
	if !due || !m.waiting || m.renewed {
		return renewNone
	}
	m.renewed = true
	return reason
}
