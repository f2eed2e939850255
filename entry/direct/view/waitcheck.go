package view

import "time"

const (
	// longWait is how long one call waits for the next configuration at an entry that
	// relies on the reads of its peers.
	longWait = 20 * time.Second

	// shortWait is the same at an entry that reads the registrations for all. It bounds how
	// long a lost wait stays unnoticed if no read was lost with it.
	shortWait = 4 * time.Second

	// regularGap is the longest time between two reads of an entry that reads the
	// registrations regularly: the oldest list that an entry accepts from its peers.
	regularGap = 1500 * time.Millisecond
)

// renewal is the reason to begin a wait anew.
type renewal string

// Reasons to begin a wait anew.
const (
	renewNone   renewal = ""
	renewLost   renewal = "a read got no answer while it waited"
	renewReader renewal = "this entry now reads the registrations"
)

// waitCheck decides whether the call that waits for the next configuration may be lost,
// because its request or its response fell into a silence of the store. The call is silent
// by design, so its own silence proves nothing. The reads of the registrations, which the
// store answers at once, do: one that gets no answer puts the wait in doubt, and a later one
// that is answered shows that the store is back. A read that is slow but answered proves no
// loss, and the store's version says nothing about the table that the wait is for.
//
// Invariant: a wait during which a read of this entry failed ends once a later read by any
// entry is answered; any other wait ends after its length, which is shortWait at an entry
// that reads regularly.
//
// It has no clock and does no I/O.
type waitCheck struct {
	began     time.Time // of the wait under way; zero if there is none
	length    time.Duration
	failed    time.Time // start of the last failed read that overlaps the wait
	doubtedAt time.Time // end of the first failed read that overlaps the wait; zero while it is not in doubt
	renewing  bool      // the wait was already found to be renewed
	answered  time.Time // start of this entry's last answered read; zero after a failed one
	regular   bool      // the last two reads were answered within regularGap
}

// begin starts a wait and returns its length.
func (c *waitCheck) begin(now time.Time) time.Duration {
	c.end()
	c.began, c.length = now, longWait
	if c.regular && now.Sub(c.answered) <= regularGap {
		c.length = shortWait
	}
	return c.length
}

// end ends the wait: it was answered, has failed or is given up.
func (c *waitCheck) end() {
	c.began, c.failed, c.doubtedAt, c.renewing = time.Time{}, time.Time{}, time.Time{}, false
}

// readFailed records a read of this entry that got no answer. It reports whether the wait
// is in doubt from now on.
func (c *waitCheck) readFailed(requestedAt, now time.Time) bool {
	c.answered, c.regular = time.Time{}, false
	if c.began.IsZero() || c.began.After(now) {
		return false
	}
	c.failed = requestedAt
	if !c.doubtedAt.IsZero() {
		return false
	}
	c.doubtedAt = now
	return true
}

// readAnswered records an answered read of this entry. It returns why the wait must be
// begun anew, if it must.
func (c *waitCheck) readAnswered(requestedAt time.Time) renewal {
	c.regular = !c.answered.IsZero() && requestedAt.Sub(c.answered) <= regularGap
	c.answered = requestedAt
	if reason := c.peerAnswered(requestedAt); reason != renewNone {
		return reason
	}
	if c.regular && c.length > shortWait {
		return c.renew(renewReader)
	}
	return renewNone
}

// peerAnswered is readAnswered for a read of a peer.
func (c *waitCheck) peerAnswered(requestedAt time.Time) renewal {
	if c.doubtedAt.IsZero() || !requestedAt.After(c.failed) {
		return renewNone
	}
	return c.renew(renewLost)
}

// renew returns the reason, once for each wait.
func (c *waitCheck) renew(reason renewal) renewal {
	if c.began.IsZero() || c.renewing {
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
