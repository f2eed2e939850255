package idempotency

// Mark is a side process's record of one action. The zero value describes an
// action that this incarnation of the side process has not seen.
type Mark struct {
	FencedUpTo int     // attempts up to this number never start
	Started    int     // number of the attempt that started; 0 for none
	Verdict    Verdict // of the started attempt: running, done or lost
}

// Start records the start of an attempt and reports whether it may start: it
// must not be fenced, and no other attempt of the action may have started here.
// A later attempt may follow a lost one, because it is claimed only after an
// operator has settled the lost one as not run.
func (m Mark) Start(attempt int) (Mark, bool) {
	settled := m.Verdict == VerdictLost && attempt > m.Started
	if m.Started > 0 && !settled || attempt <= m.FencedUpTo {
		return m, false
	}
	m.Started = attempt
	m.Verdict = VerdictRunning
	return m, true
}

// Bar fences the attempt, so that it never starts, and returns VerdictBarred. If
// an attempt has already started, Bar changes nothing and returns its verdict.
func (m Mark) Bar(attempt int) (Mark, Verdict) {
	if m.Started > 0 {
		return m, m.Verdict
	}
	m.FencedUpTo = max(m.FencedUpTo, attempt)
	return m, VerdictBarred
}

// Look returns the verdict on an attempt without fencing it.
func (m Mark) Look(attempt int) Verdict {
	if m.Started > 0 {
		return m.Verdict
	}
	if attempt <= m.FencedUpTo {
		return VerdictBarred
	}
	return VerdictAbsent
}

// End is how a started attempt ended.
type End int

// The ways in which a started attempt ends.
const (
	EndWhole   End = iota // a complete answer was received
	EndNotSent            // no byte reached the backend server
	EndBroken             // bytes were sent, but no complete answer was received
)

// Finish records how the started attempt ended.
func (m Mark) Finish(end End) Mark {
	switch end {
	case EndWhole:
		m.Verdict = VerdictDone
	case EndNotSent:
		m.FencedUpTo = max(m.FencedUpTo, m.Started)
		m.Started = 0
		m.Verdict = ""
	case EndBroken:
		m.Verdict = VerdictLost
	}
	return m
}
