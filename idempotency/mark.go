package idempotency

// Mark is what a side process keeps of one action. Its zero value is an action
// that this incarnation has not met.
type Mark struct {
	Barred  int     // attempts up to this one never start
	Started int     // attempt that started; 0 for none
	Verdict Verdict // of the started attempt: running, done or lost
}

// Start decides whether an attempt may start now. It may only when no attempt
// of the action has started here and this one is not barred. After a lost
// attempt a further one may: it is claimed only when an operator has settled
// the lost one as not run.
func (m Mark) Start(attempt int) (Mark, bool) {
	settled := m.Verdict == VerdictLost && attempt > m.Started
	if m.Started > 0 && !settled || attempt <= m.Barred {
		return m, false
	}
	m.Started = attempt
	m.Verdict = VerdictRunning
	return m, true
}

// Bar makes sure that the attempt never starts, unless one has started already.
// The verdict is barred, or that of the attempt that started.
func (m Mark) Bar(attempt int) (Mark, Verdict) {
	if m.Started > 0 {
		return m, m.Verdict
	}
	m.Barred = max(m.Barred, attempt)
	return m, VerdictBarred
}

// Look returns the verdict on an attempt without changing anything.
func (m Mark) Look(attempt int) Verdict {
	if m.Started > 0 {
		return m.Verdict
	}
	if attempt <= m.Barred {
		return VerdictBarred
	}
	return VerdictAbsent
}

// End is how a started attempt ended.
type End int

// The ends of an attempt.
const (
	EndWhole   End = iota // a whole answer came
	EndNotSent            // not one byte reached the backend server
	EndBroken             // bytes left, no whole answer came
)

// Finish records how the started attempt ended.
func (m Mark) Finish(end End) Mark {
	switch end {
	case EndWhole:
		m.Verdict = VerdictDone
	case EndNotSent:
		m.Barred = max(m.Barred, m.Started)
		m.Started = 0
		m.Verdict = ""
	case EndBroken:
		m.Verdict = VerdictLost
	}
	return m
}
