package view

import "time"

// renewal is the reason to begin a wait anew.
type renewal string

// Reasons to begin a wait anew.
const (
	renewNone   renewal = ""
	renewLost   renewal = "a read got no answer while it waited"
	renewMissed renewal = "the store has changes that it did not return"
)

// waitCheck decides whether the call that waits for the next configuration may be lost,
// because its request or its response fell into a silence of the store. The call is silent
// by design, so its own silence proves nothing. The reads of the registrations, which the
// store answers at once, do: one that gets no answer puts the wait in doubt, and a later one
// that is answered shows that the store is back. A read that is slow but answered proves no
// loss, and the store's version says nothing about the table that the wait is for: an entry
// whose reads are answered asks for the changes of that table instead.
//
// Invariant: a wait during which a read of this entry failed ends once a later read by any
// entry is answered; one that has not returned a change ends once this entry learns of that
// otherwise.
//
// It has no clock and does no I/O.
type waitCheck struct {
	began     time.Time // of the wait under way; zero if there is none
	failed    time.Time // start of the last failed read that overlaps the wait
	doubtedAt time.Time // end of the first failed read that overlaps the wait; zero while it is not in doubt
	renewing  bool      // the wait was already found to be renewed
}

// begin starts a wait.
func (c *waitCheck) begin(now time.Time) { *c = waitCheck{began: now} }

// end ends the wait: it was answered, has failed or is given up.
func (c *waitCheck) end() { *c = waitCheck{} }

// waiting reports whether a wait is under way.
func (c *waitCheck) waiting() bool { return !c.began.IsZero() }

// readFailed records a read of this entry that got no answer. It reports whether the wait
// is in doubt from now on.
func (c *waitCheck) readFailed(requestedAt, now time.Time) bool {
	if !c.waiting() || c.began.After(now) {
		return false
	}
	c.failed = requestedAt
	if !c.doubtedAt.IsZero() {
		return false
	}
	c.doubtedAt = now
	return true
}

// readAnswered records a read, of this entry or of a peer, that the store answered. It
// returns why the wait must be begun anew, if it must.
func (c *waitCheck) readAnswered(requestedAt time.Time) renewal {
	if c.doubtedAt.IsZero() || !requestedAt.After(c.failed) {
		return renewNone
	}
	return c.renew(renewLost)
}

// missed records that the wait under way has not returned a change. It returns why the wait
// must be begun anew, if it must.
func (c *waitCheck) missed() renewal { return c.renew(renewMissed) }

// renew returns the reason, once for each wait.
func (c *waitCheck) renew(reason renewal) renewal {
	if !c.waiting() || c.renewing {
		return renewNone
	}
	c.renewing = true
	return reason
}

// doubted returns for how long the wait has been in doubt; zero if it is not.
func (c *waitCheck) doubted(now time.Time) time.Duration {
	if c.doubtedAt.IsZero() {
		return 0
	}
	return now.Sub(c.doubtedAt)
}
