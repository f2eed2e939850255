package idempotency

import (
	"time"

	"peridotchute.example/common/wire"
)

// follow goes on from the row as it stands in the table.
func (a Action) follow(e Row, now time.Time) (Action, Effect) {
	a.record = e.Record
	a.version = e.Version
	if a.Mode == ModeRun && e.Record.BodyDigest != a.Digest {
		return a.reply(wire.OutcomeNotRun, CodeMismatch, "")
	}
	switch e.Record.State {
	case StateClaimed:
		if e.Record.Token == a.own.Token {
			return a.followOwn(now)
		}
		return a.followForeign(now)
	case StateDone:
		return a.followDone()
	case StateNotRun:
		return a.again(now)
	default:
		return a.reply(wire.OutcomeUnknown, CodeUnresolved, e.Record.Reason)
	}
}

// followOwn goes on when the row holds the own claim.
func (a Action) followOwn(now time.Time) (Action, Effect) {
	switch {
	case a.answer != nil:
		return a.retry(phaseRecording, a.done())
	case a.void != "":
		return a.retry(phaseVoiding, a.notRun(a.void))
	case a.sent:
		return a.query(a.own)
	}
	return a.send(now)
}

// retry tries a write again whose answer was lost and that did not take effect.
func (a Action) retry(p phase, next Record) (Action, Effect) {
	if a.tries >= maxStoreTries {
		return a.unwritten()
	}
	a.phase = p
	a.next = next
	return a.write()
}

func (a Action) followForeign(now time.Time) (Action, Effect) {
	if a.foreign != a.record.Token {
		a.foreign = a.record.Token
		a.since = now
	}
	return a.query(a.record)
}

func (a Action) followDone() (Action, Effect) {
	if a.answer == nil {
		a.answer = a.record.Answer
	}
	if a.answer == nil {
		return a.query(a.record)
	}
	return a.reply(wire.OutcomeCompleted, CodeDone, "")
}

func (a Action) noRow() (Action, Effect) {
	switch {
	case a.answer != nil || a.sent:
		return a.unwritten()
	case a.Mode == ModeSettle:
		return a.reply(wire.OutcomeUnknown, CodeNotFound, "")
	case a.noServer:
		return a.reply(wire.OutcomeNotRun, CodeNoServer, "")
	case a.own.Token == "":
		return a.choose()
	case a.tries < maxStoreTries:
		a.phase = phaseClaiming
		a.version = ""
		return a.write()
	}
	return a.storeDown()
}

// askedOwn reports whether the last question was about the own attempt.
func (a Action) askedOwn() bool { return a.asked.Token == a.own.Token }

// moved reports whether the row names another attempt than the last question:
// the verdict then says nothing about the row.
func (a Action) moved() bool { return a.asked.Token != a.record.Token }

func (a Action) judged(e Judged, now time.Time) (Action, Effect) {
	switch e.Verdict {
	case VerdictDone:
		return a.judgedDone(e)
	case VerdictBarred:
		return a.judgedBarred()
	case VerdictRunning:
		return a.later(now, CodeRunning, "")
	case VerdictAbsent:
		if a.askedOwn() || now.Sub(a.since) >= claimGrace {
			return a.bar(a.asked)
		}
		return a.later(now, CodeRunning, "")
	case VerdictLost:
		return a.judgedLost("the backend server's answer was lost")
	default:
		return a.judgedLost("the side process restarted and forgot the action")
	}
}

func (a Action) judgedDone(e Judged) (Action, Effect) {
	a.answer = e.Answer
	if a.record.State == StateDone || e.Answer == nil {
		return a.withoutAnswer()
	}
	return a.recordDone()
}

// withoutAnswer replies for an action that ended and whose answer may be gone.
func (a Action) withoutAnswer() (Action, Effect) {
	reason := ""
	if a.answer == nil {
		reason = "the answer is no longer kept"
	}
	return a.reply(wire.OutcomeCompleted, CodeDone, reason)
}

func (a Action) judgedBarred() (Action, Effect) {
	if a.askedOwn() {
		a.void = "barred before it started"
		a.avoid = a.own.Server
	}
	if a.moved() {
		return a.read()
	}
	return a.recordNotRun("barred before it started")
}

func (a Action) judgedLost(reason string) (Action, Effect) {
	if a.record.State == StateDone {
		return a.withoutAnswer()
	}
	if a.moved() {
		return a.read()
	}
	return a.unresolve(reason)
}

func (a Action) unreachable(e Unreachable, now time.Time) (Action, Effect) {
	if a.record.State == StateDone {
		return a.withoutAnswer()
	}
	if e.Gone && !a.moved() {
		return a.unresolve("the backend server left with the action")
	}
	return a.later(now, CodeRunning, "the backend server cannot be reached")
}

// later asks again after a while, or replies when there is no time left.
func (a Action) later(now time.Time, code Code, reason string) (Action, Effect) {
	if a.late(now) {
		return a.reply(wire.OutcomeUnknown, code, reason)
	}
	pause := min(minPoll<<min(a.polls, 10), maxPoll)
	a.polls++
	return a.wait(pause)
}
