package idempotency

import (
	"strconv"
	"time"

	"peridotchute.example/common/wire"
)

// claim starts the write of a claim for the next attempt.
func (a Action) claim(c Chosen, now time.Time) (Action, Effect) {
	a.attempts++
	a.sent = false
	a.notRunReason = ""
	a.ownClaim = Record{
		Team:        a.Team,
		Key:         a.Key,
		Entry:       a.Entry,
		Attempt:     a.record.Attempt + 1,
		Token:       a.Token + "." + strconv.Itoa(a.attempts),
		Server:      c.Server,
		Incarnation: c.Incarnation,
		BodyDigest:  a.Digest,
		State:       StateClaimed,
		ClaimedAt:   now,
		Expires:     now.Add(a.Retention),
	}
	return a.startWrite(phaseClaiming, a.ownClaim)
}

// startWrite starts writing next to the row.
func (a Action) startWrite(p phase, next Record) (Action, Effect) {
	a.phase = p
	a.next = next
	a.writeTries = 0
	return a.write()
}

// write returns the effect that writes a.next.
func (a Action) write() (Action, Effect) {
	a.writeTries++
	if a.version == "" {
		return a, PutIfAbsent{Record: a.next}
	}
	return a, CompareAndSet{Version: a.version, Record: a.next}
}

func (a Action) recordDone() (Action, Effect) {
	return a.startWrite(phaseRecordingDone, a.doneRecord())
}

func (a Action) recordNotRun(reason string) (Action, Effect) {
	return a.startWrite(phaseRecordingNotRun, a.notRunRecord(reason))
}

// doneRecord returns the record of a completed action.
func (a Action) doneRecord() Record {
	next := a.record
	next.State = StateDone
	next.Reason = ""
	next.Answer = a.answer
	return next
}

// notRunRecord returns the record of an attempt that never starts.
func (a Action) notRunRecord(reason string) Record {
	next := a.record
	next.State = StateNotRun
	next.Reason = reason
	return next
}

// listUnresolved adds the action to the operators' list before its row becomes
// unresolved, so that a crash between the two writes cannot hide it.
func (a Action) listUnresolved(reason string) (Action, Effect) {
	a.next = a.record
	a.next.State = StateUnresolved
	a.next.Reason = reason
	a.listTries++
	if a.listTries > maxWriteTries {
		return a.reply(wire.OutcomeUnknown, CodeStoreDown, reason)
	}
	a.phase = phaseListing
	return a, ListUnresolved{Record: a.next}
}

func (a Action) handleWritten(e Written, now time.Time) (Action, Effect) {
	if a.phase == phaseListing {
		return a.startWrite(phaseRecordingUnresolved, a.next)
	}
	a.record = a.next
	a.version = e.Version
	return a.afterWrite(now)
}

// afterWrite returns the next effect after a.record was written to the row.
func (a Action) afterWrite(now time.Time) (Action, Effect) {
	switch a.record.State {
	case StateClaimed:
		return a.send(now)
	case StateDone:
		return a.reply(wire.OutcomeCompleted, CodeDone, "")
	case StateNotRun:
		return a.nextAttempt(now)
	default:
		return a.reply(wire.OutcomeUnknown, CodeUnresolved, a.record.Reason)
	}
}

// send sends the attempt of ownClaim, or records it as not run if the deadline
// has passed. An attempt is sent at most once.
func (a Action) send(now time.Time) (Action, Effect) {
	if a.expired(now) {
		a.notRunReason = "deadline passed before the attempt was sent"
		return a.recordNotRun(a.notRunReason)
	}
	a.sent = true
	a.phase = phaseSending
	return a, Send{Record: a.ownClaim}
}

// nextAttempt chooses a server for another attempt after one that never starts.
// It replies not-run if no further attempt is allowed.
func (a Action) nextAttempt(now time.Time) (Action, Effect) {
	switch {
	case a.Mode == ModeSettle:
		return a.reply(wire.OutcomeNotRun, CodeRefused, a.record.Reason)
	case a.expired(now):
		return a.reply(wire.OutcomeNotRun, CodeDeadline, a.record.Reason)
	case a.attempts >= maxAttempts || a.noServer:
		return a.reply(wire.OutcomeNotRun, CodeNoServer, a.record.Reason)
	}
	return a.choose()
}

// handleConflict reads the row that another write has changed. If the action is
// already on the operators' list, it writes the unresolved state instead.
func (a Action) handleConflict() (Action, Effect) {
	if a.phase == phaseListing {
		return a.startWrite(phaseRecordingUnresolved, a.next)
	}
	return a.read()
}

func (a Action) handleStoreFailed(e StoreFailed) (Action, Effect) {
	switch a.phase {
	case phaseClaiming:
		if e.Unknown && a.writeTries < maxWriteTries {
			return a.read()
		}
		return a.handleStoreDown()
	case phaseRecordingNotRun, phaseRecordingDone, phaseRecordingUnresolved:
		if e.Unknown && a.writeTries < maxWriteTries {
			return a.read()
		}
		return a.replyUnrecorded()
	case phaseListing:
		return a.reply(wire.OutcomeUnknown, CodeStoreDown, a.next.Reason)
	}
	if a.sent || a.notRunReason != "" {
		return a.replyUnrecorded()
	}
	return a.handleStoreDown()
}

// handleStoreDown is called if the row cannot be accessed and no attempt was sent.
// If the action is to be run under a key that was generated here, no other entry
// can have run it, and the reply is OutcomeNotRun. Otherwise all servers are asked
// for its status.
func (a Action) handleStoreDown() (Action, Effect) {
	if a.Mode == ModeRun && a.GeneratedKey {
		return a.reply(wire.OutcomeNotRun, CodeStoreDown, "")
	}
	a.phase = phaseLookup
	return a, Lookup{}
}

// replyUnrecorded handles a request that cannot write its result to the row. If an
// attempt was sent and its result is not known, it queries the server. For an
// attempt that never starts it replies not-run only if the key was generated here:
// with a caller's key, another entry may have claimed another attempt.
func (a Action) replyUnrecorded() (Action, Effect) {
	switch {
	case a.answer != nil:
		return a.reply(wire.OutcomeCompleted, CodeDone, "")
	case a.notRunReason != "" && a.GeneratedKey:
		return a.reply(wire.OutcomeNotRun, CodeStoreDown, a.notRunReason)
	case a.notRunReason == "" && a.sent:
		return a.query(a.ownClaim)
	}
	return a.reply(wire.OutcomeUnknown, CodeStoreDown, a.notRunReason)
}

func (a Action) handleLookup(e LookupResult) (Action, Effect) {
	switch {
	case e.Verdict == VerdictDone && e.Answer != nil:
		a.answer = e.Answer
		return a.reply(wire.OutcomeCompleted, CodeDone, "")
	case e.Verdict == VerdictRunning:
		return a.reply(wire.OutcomeUnknown, CodeRunning, "")
	case e.Verdict == VerdictLost || e.Verdict == VerdictDone:
		return a.reply(wire.OutcomeUnknown, CodeStoreDown, "an earlier request with this key was started")
	case !e.Conclusive || a.Mode == ModeSettle || a.otherToken != "":
		return a.reply(wire.OutcomeUnknown, CodeStoreDown, "an earlier request with this key may have run")
	}
	return a.reply(wire.OutcomeNotRun, CodeStoreDown, "")
}
