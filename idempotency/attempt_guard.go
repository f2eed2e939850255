package idempotency

// AttemptGuard decides at a side process which attempts of one action may start.
// The zero value is for an action that this incarnation has not seen.
type AttemptGuard struct {
	FencedUpTo int     // attempts up to this number never start
	Started    int     // number of the attempt that started; 0 for none
	Verdict    Verdict // of the started attempt: running, done or lost
}

// Start records the start of an attempt and reports whether it may start: it
// must not be fenced, and no other attempt of the action may have started here.
// A later attempt may follow a lost one, because it is claimed only after an
// operator has settled the lost one as not run.
func (g AttemptGuard) Start(attempt int) (AttemptGuard, bool) {
	settled := g.Verdict == VerdictLost && attempt > g.Started
	if g.Started > 0 && !settled || attempt <= g.FencedUpTo {
		return g, false
	}
	g.Started = attempt
	g.Verdict = VerdictRunning
	return g, true
}

// Fence fences the attempt, so that it never starts, and returns VerdictFenced. If
// an attempt has already started, Fence changes nothing and returns its verdict.
func (g AttemptGuard) Fence(attempt int) (AttemptGuard, Verdict) {
	if g.Started > 0 {
		return g, g.Verdict
	}
	g.FencedUpTo = max(g.FencedUpTo, attempt)
	return g, VerdictFenced
}

// VerdictOf returns the verdict on an attempt without fencing it.
func (g AttemptGuard) VerdictOf(attempt int) Verdict {
	if g.Started > 0 {
		return g.Verdict
	}
	if attempt <= g.FencedUpTo {
		return VerdictFenced
	}
	return VerdictAbsent
}

// End is how a started attempt ended.
type End int

// The ways in which a started attempt ends.
const (
	EndComplete End = iota // a complete answer was received
	EndNotSent             // no byte reached the backend server
	EndBroken              // bytes were sent, but no complete answer was received
)

// Finish records how the started attempt ended.
func (g AttemptGuard) Finish(end End) AttemptGuard {
	switch end {
	case EndComplete:
		g.Verdict = VerdictDone
	case EndNotSent:
		g.FencedUpTo = max(g.FencedUpTo, g.Started)
		g.Started = 0
		g.Verdict = ""
	case EndBroken:
		g.Verdict = VerdictLost
	}
	return g
}
