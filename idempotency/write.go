package idempotency

import (
	"strconv"
	"time"

	"peridotchute.example/common/wire"
)

// claim writes the next attempt's claim.
func (a Action) claim(c Chosen, now time.Time) (Action, Effect) {
	a.attempts++
	a.sent = false
	a.void = ""
	a.own = Record{
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
	return a.start(phaseClaiming, a.own)
}

// start begins the write of a row.
func (a Action) start(p phase, next Record) (Action, Effect) {
	a.phase = p
	a.next = next
	a.tries = 0
	return a.write()
}

// write tries the write of a.next once.
func (a Action) write() (Action, Effect) {
	a.tries++
	if a.version == "" {
		return a, PutIfAbsent{Record: a.next}
	}
	return a, CompareAndSet{Version: a.version, Record: a.next}
}

func (a Action) recordDone() (Action, Effect) { return a.start(phaseRecording, a.done()) }

func (a Action) recordNotRun(reason string) (Action, Effect) {
	return a.start(phaseVoiding, a.notRun(reason))
}

// done returns the row of an action that ended.
func (a Action) done() Record {
	next := a.record
	next.State = StateDone
	next.Reason = ""
	next.Answer = a.answer
	return next
}

// notRun returns the row of an attempt that never starts.
func (a Action) notRun(reason string) Record {
	next := a.record
	next.State = StateNotRun
	next.Reason = reason
	return next
}

// unresolve announces the action to operators before its row says so, so that
// no crash in between hides it.
func (a Action) unresolve(reason string) (Action, Effect) {
	a.next = a.record
	a.next.State = StateUnresolved
	a.next.Reason = reason
	a.announce++
	if a.announce > maxStoreTries {
		return a.reply(wire.OutcomeUnknown, CodeStoreDown, reason)
	}
	a.phase = phaseAnnouncing
	return a, Announce{Record: a.next}
}

func (a Action) written(e Written, now time.Time) (Action, Effect) {
	if a.phase == phaseAnnouncing {
		return a.start(phaseUnresolving, a.next)
	}
	a.record = a.next
	a.version = e.Version
	return a.proceed(now)
}

// proceed goes on after the row in a.record was written by this action.
func (a Action) proceed(now time.Time) (Action, Effect) {
	switch a.record.State {
	case StateClaimed:
		return a.send(now)
	case StateDone:
		return a.reply(wire.OutcomeCompleted, CodeDone, "")
	case StateNotRun:
		return a.again(now)
	default:
		return a.reply(wire.OutcomeUnknown, CodeUnresolved, a.record.Reason)
	}
}

// send sends the own attempt. An attempt is sent at most once, and not after
// its deadline.
func (a Action) send(now time.Time) (Action, Effect) {
	if a.late(now) {
		a.void = "deadline passed before the attempt was sent"
		return a.recordNotRun(a.void)
	}
	a.sent = true
	a.phase = phaseSending
	return a, Send{Record: a.own}
}

// again claims a further attempt after the former one is known never to start.
func (a Action) again(now time.Time) (Action, Effect) {
	switch {
	case a.Mode == ModeSettle:
		return a.reply(wire.OutcomeNotRun, CodeRefused, a.record.Reason)
	case a.late(now):
		return a.reply(wire.OutcomeNotRun, CodeDeadline, a.record.Reason)
	case a.attempts >= maxAttempts || a.noServer:
		return a.reply(wire.OutcomeNotRun, CodeNoServer, a.record.Reason)
	}
	return a.choose()
}

// conflict reads who won. A row that exists already on the operators' list is
// as good as written.
func (a Action) conflict() (Action, Effect) {
	if a.phase == phaseAnnouncing {
		return a.start(phaseUnresolving, a.next)
	}
	return a.read()
}

func (a Action) storeFailed(e StoreFailed) (Action, Effect) {
	switch a.phase {
	case phaseClaiming:
		if e.Unknown && a.tries < maxStoreTries {
			return a.read()
		}
		return a.storeDown()
	case phaseVoiding, phaseRecording, phaseUnresolving:
		if e.Unknown && a.tries < maxStoreTries {
			return a.read()
		}
		return a.unwritten()
	case phaseAnnouncing:
		return a.reply(wire.OutcomeUnknown, CodeStoreDown, a.next.Reason)
	}
	if a.sent || a.void != "" {
		return a.unwritten()
	}
	return a.storeDown()
}

// storeDown answers a request that sent nothing and cannot read or write its row.
func (a Action) storeDown() (Action, Effect) {
	if a.Mode == ModeRun && a.Minted {
		return a.reply(wire.OutcomeNotRun, CodeStoreDown, "")
	}
	a.phase = phaseLooking
	return a, Lookup{}
}

// unwritten answers a request whose end is known but not written to its row. Of
// an attempt that never started it says so only for a minted key: under any
// other key another entry may have claimed a further attempt.
func (a Action) unwritten() (Action, Effect) {
	switch {
	case a.answer != nil:
		return a.reply(wire.OutcomeCompleted, CodeDone, "")
	case a.void != "" && a.Minted:
		return a.reply(wire.OutcomeNotRun, CodeStoreDown, a.void)
	case a.void == "" && a.sent:
		return a.query(a.own)
	}
	return a.reply(wire.OutcomeUnknown, CodeStoreDown, a.void)
}

func (a Action) looked(e Looked) (Action, Effect) {
	switch {
	case e.Verdict == VerdictDone && e.Answer != nil:
		a.answer = e.Answer
		return a.reply(wire.OutcomeCompleted, CodeDone, "")
	case e.Verdict == VerdictRunning:
		return a.reply(wire.OutcomeUnknown, CodeRunning, "")
	case e.Verdict == VerdictLost || e.Verdict == VerdictDone:
		return a.reply(wire.OutcomeUnknown, CodeStoreDown, "an earlier request under this key was started")
	case !e.Sure || a.Mode == ModeSettle || a.foreign != "":
		return a.reply(wire.OutcomeUnknown, CodeStoreDown, "an earlier request under this key may have run")
	}
	return a.reply(wire.OutcomeNotRun, CodeStoreDown, "")
}
