package idempotency

import (
	"time"

	"peridotchute.example/common/wire"
)

// handleRow returns the next effect for a row read from the table.
func (a Action) handleRow(e Row, now time.Time) (Action, Effect) {
	a.record = e.Record
	a.version = e.Version
	if a.Mode == ModeRun && e.Record.BodyDigest != a.Digest {
		return a.reply(wire.OutcomeNotRun, CodeMismatch, "")
	}
	switch e.Record.State {
	case StateClaimed:
		if e.Record.Token == a.ownClaim.Token {
			return a.handleOwnClaim(now)
		}
		return a.handleOtherClaim(now)
	case StateDone:
		return a.handleDone()
	case StateNotRun:
		return a.nextAttempt(now)
	default:
		return a.reply(wire.OutcomeUnknown, CodeUnresolved, e.Record.Reason)
	}
}

// handleOwnClaim returns the next effect when the row contains ownClaim.
func (a Action) handleOwnClaim(now time.Time) (Action, Effect) {
	switch {
	case a.answer != nil:
		return a.retryWrite(phaseRecordingDone, a.doneRecord())
	case a.notRunReason != "":
		return a.retryWrite(phaseRecordingNotRun, a.notRunRecord(a.notRunReason))
	case a.sent:
		return a.query(a.ownClaim)
	}
	return a.send(now)
}

// retryWrite repeats a write that had an unknown result and did not take effect.
func (a Action) retryWrite(p phase, next Record) (Action, Effect) {
	if a.writeTries >= maxWriteTries {
		return a.replyUnrecorded()
	}
	a.phase = p
	a.next = next
	return a.write()
}

func (a Action) handleOtherClaim(now time.Time) (Action, Effect) {
	if a.otherToken != a.record.Token {
		a.otherToken = a.record.Token
		a.otherSince = now
	}
	return a.query(a.record)
}

func (a Action) handleDone() (Action, Effect) {
	if a.answer == nil {
		a.answer = a.record.Answer
	}
	if a.answer == nil {
		return a.query(a.record)
	}
	return a.reply(wire.OutcomeCompleted, CodeDone, "")
}

func (a Action) handleNoRow() (Action, Effect) {
	switch {
	case a.answer != nil || a.sent:
		return a.replyUnrecorded()
	case a.Mode == ModeSettle:
		return a.reply(wire.OutcomeUnknown, CodeNotFound, "")
	case a.noServer:
		return a.reply(wire.OutcomeNotRun, CodeNoServer, "")
	case a.ownClaim.Token == "":
		return a.choose()
	case a.writeTries < maxWriteTries:
		a.phase = phaseClaiming
		a.version = ""
		return a.write()
	}
	return a.handleStoreDown()
}

// queriedOwn reports whether the last Fence or Query was about ownClaim.
func (a Action) queriedOwn() bool { return a.queried.Token == a.ownClaim.Token }

// claimChanged reports whether the row contains a different claim than the last
// Fence or Query. The verdict then does not apply to the row.
func (a Action) claimChanged() bool { return a.queried.Token != a.record.Token }

func (a Action) handleVerdict(e VerdictResult, now time.Time) (Action, Effect) {
	switch e.Verdict {
	case VerdictDone:
		return a.handleVerdictDone(e)
	case VerdictBarred:
		return a.handleVerdictFenced()
	case VerdictRunning:
		return a.pollLater(now, CodeRunning, "")
	case VerdictAbsent:
		if a.queriedOwn() || now.Sub(a.otherSince) >= claimStartTimeout {
			return a.fence(a.queried)
		}
		return a.pollLater(now, CodeRunning, "")
	case VerdictLost:
		return a.handleVerdictLost("the backend server's answer was lost")
	default:
		return a.handleVerdictLost("the side process restarted and forgot the action")
	}
}

func (a Action) handleVerdictDone(e VerdictResult) (Action, Effect) {
	a.answer = e.Answer
	if a.record.State == StateDone || e.Answer == nil {
		return a.replyDone()
	}
	return a.recordDone()
}

// replyDone replies that the action completed, with its answer if one is available.
func (a Action) replyDone() (Action, Effect) {
	reason := ""
	if a.answer == nil {
		reason = "the answer is no longer kept"
	}
	return a.reply(wire.OutcomeCompleted, CodeDone, reason)
}

func (a Action) handleVerdictFenced() (Action, Effect) {
	if a.queriedOwn() {
		a.notRunReason = "barred before it started"
		a.excludeServer = a.ownClaim.Server
	}
	if a.claimChanged() {
		return a.read()
	}
	return a.recordNotRun("barred before it started")
}

func (a Action) handleVerdictLost(reason string) (Action, Effect) {
	if a.record.State == StateDone {
		return a.replyDone()
	}
	if a.claimChanged() {
		return a.read()
	}
	return a.listUnresolved(reason)
}

func (a Action) handleUnreachable(e Unreachable, now time.Time) (Action, Effect) {
	if a.record.State == StateDone {
		return a.replyDone()
	}
	if e.Removed && !a.claimChanged() {
		return a.listUnresolved("the backend server left with the action")
	}
	return a.pollLater(now, CodeRunning, "the backend server cannot be reached")
}

// pollLater waits before the row is read again, or replies if the deadline has passed.
func (a Action) pollLater(now time.Time, code Code, reason string) (Action, Effect) {
	if a.expired(now) {
		return a.reply(wire.OutcomeUnknown, code, reason)
	}
	delay := min(minPoll<<min(a.polls, 10), maxPoll)
	a.polls++
	return a.wait(delay)
}
