package idempotency

import (
	"fmt"
	"time"

	"peridotchute.example/common/wire"
)

// picker returns a number from 0 to n-1.
type picker func(n int) int

// delayedWrite is a table write that reported failure and takes effect later.
type delayedWrite struct {
	ifAbsent bool
	version  string
	record   Record
}

// attemptMessage is an attempt in transit to a server or running there.
type attemptMessage struct {
	record  Record
	actor   *actor // sender; nil once it was notified of the result
	started bool
}

type server struct {
	incarnation int
	mark        Mark
	answer      *wire.Answer
}

// actor is one request at its entry.
type actor struct {
	action    Action
	effect    Effect // nil while an attempt is in flight or after the reply
	reply     *Reply
	dead      bool
	startStep int // step at which the request began
}

type run struct {
	token string
	step  int
}

// world simulates two servers, a table and requests of several entries for one key.
type world struct {
	pick          picker
	now           time.Time
	step          int
	row           *Record
	version       int
	listed        bool
	delayedWrites []delayedWrite
	messages      []*attemptMessage
	servers       [2]*server
	actors        []*actor
	runs          []run
	faultsStopped bool
	unfenced      bool // injected fault: side processes start every attempt they receive
}

func newWorld(pick picker) *world {
	return &world{pick: pick, now: time.Unix(1000, 0), servers: [2]*server{{}, {}}}
}

func (w *world) request(mode Mode) *actor {
	n := len(w.actors)
	a := &actor{startStep: w.step, action: Action{
		Mode: mode, Team: "t", Key: "k", Digest: "d", Token: fmt.Sprint("r", n),
		Entry: fmt.Sprint("entry", n), Retention: time.Hour, Deadline: w.now.Add(10 * time.Second),
	}}
	w.actors = append(w.actors, a)
	w.deliver(a, Begin{})
	return a
}

func (w *world) deliver(a *actor, e Event) {
	a.action, a.effect = Step(a.action, e, w.now)
	if r, ok := a.effect.(Reply); ok {
		a.reply, a.effect = &r, nil
	}
}

func (w *world) injectFault(n int) bool { return !w.faultsStopped && w.pick(n) == 0 }

// apply performs a conditional write and reports whether its condition held.
func (w *world) apply(l delayedWrite) bool {
	if l.ifAbsent && w.row != nil || !l.ifAbsent && (w.row == nil || l.version != fmt.Sprint(w.version)) {
		return false
	}
	w.version++
	rec := l.record
	w.row = &rec
	return true
}

func (w *world) store(l delayedWrite) Event {
	switch {
	case w.injectFault(12):
		return StoreFailed{}
	case w.injectFault(12):
		w.delayedWrites = append(w.delayedWrites, l)
		return StoreFailed{Unknown: true}
	}
	applied := w.apply(l)
	switch {
	case w.injectFault(8):
		return StoreFailed{Unknown: true}
	case applied:
		return Written{Version: fmt.Sprint(w.version)}
	}
	return Conflict{}
}

func (w *world) read() Event {
	switch {
	case w.injectFault(12):
		return StoreFailed{}
	case w.row == nil:
		return NoRow{}
	}
	return Row{Record: *w.row, Version: fmt.Sprint(w.version)}
}

func (w *world) serverOf(r Record) *server {
	if r.Server == "s0" {
		return w.servers[0]
	}
	return w.servers[1]
}

func (w *world) query(r Record, fence bool) Event {
	s := w.serverOf(r)
	switch {
	case w.injectFault(8):
		return Unreachable{}
	case r.Incarnation != fmt.Sprint(s.incarnation):
		return VerdictResult{Verdict: VerdictForgotten}
	}
	verdict := s.mark.Look(r.Attempt)
	if fence {
		s.mark, verdict = s.mark.Bar(r.Attempt)
	}
	if w.injectFault(8) {
		return Unreachable{}
	}
	return VerdictResult{Verdict: verdict, Answer: s.answer}
}

func (w *world) lookup() Event {
	out := LookupResult{Conclusive: true, Verdict: VerdictAbsent}
	for _, s := range w.servers {
		if w.injectFault(4) {
			out.Conclusive = false
			continue
		}
		if v := s.mark.Look(0); v != VerdictBarred {
			out.Verdict, out.Answer = v, s.answer
		}
	}
	return out
}

// execute executes the actor's pending effect and delivers its result.
func (w *world) execute(a *actor) {
	switch e := a.effect.(type) {
	case Choose:
		n := w.pick(2)
		if w.injectFault(10) {
			w.deliver(a, NoServer{})
			return
		}
		w.deliver(a, Chosen{Server: fmt.Sprint("s", n), Incarnation: fmt.Sprint(w.servers[n].incarnation)})
	case PutIfAbsent:
		w.deliver(a, w.store(delayedWrite{ifAbsent: true, record: e.Record}))
	case CompareAndSet:
		w.deliver(a, w.store(delayedWrite{version: e.Version, record: e.Record}))
	case Read:
		w.deliver(a, w.read())
	case Send:
		a.effect = nil
		w.messages = append(w.messages, &attemptMessage{record: e.Record, actor: a})
	case Fence:
		w.deliver(a, w.query(e.Record, true))
	case Query:
		w.deliver(a, w.query(e.Record, false))
	case Lookup:
		w.deliver(a, w.lookup())
	case ListUnresolved:
		w.listUnresolved(a)
	case Wait:
		w.now = w.now.Add(e.For)
		w.deliver(a, Waited{})
	}
}

func (w *world) listUnresolved(a *actor) {
	if w.injectFault(8) {
		w.deliver(a, StoreFailed{Unknown: w.pick(2) == 0})
		return
	}
	w.listed = true
	w.deliver(a, Written{})
}

func (w *world) removeMessage(m *attemptMessage) {
	for i := range w.messages {
		if w.messages[i] == m {
			w.messages = append(w.messages[:i], w.messages[i+1:]...)
			return
		}
	}
}

// notifySender delivers the event to the sender of the attempt unless it is dead
// or was already notified.
func (w *world) notifySender(m *attemptMessage, e Event) {
	if m.actor != nil && !m.actor.dead {
		w.deliver(m.actor, e)
	}
	m.actor = nil
}

// advance performs the next step of an attempt: start, end or connection failure.
func (w *world) advance(m *attemptMessage) {
	if w.injectFault(6) {
		w.notifySender(m, Broken{})
		return
	}
	s := w.serverOf(m.record)
	if !m.started {
		w.arrive(m, s)
		return
	}
	w.removeMessage(m)
	if m.record.Incarnation != fmt.Sprint(s.incarnation) {
		w.notifySender(m, Broken{})
		return
	}
	if w.injectFault(10) { // the backend server ran the action but its answer was truncated
		s.mark = s.mark.Finish(EndBroken)
		w.notifySender(m, Broken{})
		return
	}
	s.answer = &wire.Answer{Status: 200, Body: []byte(m.record.Token)}
	s.mark = s.mark.Finish(EndWhole)
	w.notifySender(m, Answered{Answer: s.answer})
}

func (w *world) arrive(m *attemptMessage, s *server) {
	if w.unfenced {
		m.started = true
		s.mark.Started, s.mark.Verdict = m.record.Attempt, VerdictRunning
		w.runs = append(w.runs, run{m.record.Token, w.step})
		return
	}
	ok := m.record.Incarnation == fmt.Sprint(s.incarnation)
	mark := s.mark
	if ok {
		mark, ok = s.mark.Start(m.record.Attempt)
	}
	if !ok {
		w.removeMessage(m)
		w.notifySender(m, NotStarted{Reason: "refused"})
		return
	}
	s.mark = mark
	if w.injectFault(8) { // the connection to the backend server failed
		s.mark = s.mark.Finish(EndNotSent)
		w.removeMessage(m)
		w.notifySender(m, NotStarted{Reason: "not sent"})
		return
	}
	m.started = true
	w.runs = append(w.runs, run{m.record.Token, w.step})
}

func (w *world) restart(s *server) {
	*s = server{incarnation: s.incarnation + 1}
}

// enabledSteps returns the steps that can be executed next.
func (w *world) enabledSteps() []func() {
	var out []func()
	for _, a := range w.actors {
		if a.effect != nil && !a.dead {
			out = append(out, func() { w.execute(a) })
		}
	}
	for _, m := range w.messages {
		out = append(out, func() { w.advance(m) })
	}
	for i, l := range w.delayedWrites {
		out = append(out, func() {
			w.delayedWrites = append(w.delayedWrites[:i], w.delayedWrites[i+1:]...)
			w.apply(l)
		})
	}
	return out
}

// disturb occasionally restarts a server, kills an entry, advances the clock or
// adds a request.
func (w *world) disturb(requests int) {
	switch w.pick(24) {
	case 0:
		w.restart(w.servers[w.pick(2)])
	case 1:
		w.actors[w.pick(len(w.actors))].dead = true
	case 2:
		w.now = w.now.Add(time.Duration(w.pick(4)) * time.Second)
	case 3, 4, 5:
		if len(w.actors) < requests {
			w.request(ModeRun)
		}
	}
}

// simulate runs requests with faults, then stops the faults and settles the action.
func (w *world) simulate(requests, steps int) {
	w.request(ModeRun)
	for w.step = 1; w.step < steps; w.step++ {
		w.disturb(requests)
		if enabled := w.enabledSteps(); len(enabled) > 0 {
			enabled[w.pick(len(enabled))]()
		}
	}
	w.faultsStopped = true
	for w.runToEnd(); w.row != nil && w.row.State == StateClaimed && w.step < 10*steps; {
		w.now = w.now.Add(claimStartTimeout)
		w.request(ModeSettle)
		w.runToEnd()
	}
}

func (w *world) runToEnd() {
	for steps := w.enabledSteps(); len(steps) > 0; steps = w.enabledSteps() {
		steps[w.pick(len(steps))]()
		w.step++
	}
}
