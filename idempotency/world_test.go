package idempotency

import (
	"fmt"
	"time"

	"peridotchute.example/common/wire"
)

// chooser returns a number from 0 to n-1.
type chooser func(n int) int

type landing struct { // a write whose effect comes late
	absent  bool
	version string
	record  Record
}

type message struct { // an attempt on its way to, or at, a server
	record Record
	actor  *actor // nil when its entry has died or given up on it
	began  bool
}

type server struct {
	incarnation int
	marks       Mark
	answer      *wire.Answer
}

type actor struct {
	action Action
	effect Effect // nil while a message is on its way
	reply  *Reply
	dead   bool
	begun  int // step of the request
}

type run struct {
	token string
	step  int
}

// world is two servers, a table and the requests of several entries for one key.
type world struct {
	pick     chooser
	now      time.Time
	step     int
	row      *Record
	version  int
	listed   bool
	late     []landing
	messages []*message
	servers  [2]*server
	actors   []*actor
	runs     []run
	healed   bool
	unfenced bool // planted fault: side processes start whatever arrives
}

func newWorld(pick chooser) *world {
	return &world{pick: pick, now: time.Unix(1000, 0), servers: [2]*server{{}, {}}}
}

func (w *world) request(mode Mode) *actor {
	n := len(w.actors)
	a := &actor{begun: w.step, action: Action{
		Mode: mode, Team: "t", Key: "k", Digest: "d", Token: fmt.Sprint("r", n),
		Entry: fmt.Sprint("entry", n), Retention: time.Hour, Deadline: w.now.Add(10 * time.Second),
	}}
	w.actors = append(w.actors, a)
	w.feed(a, Begin{})
	return a
}

func (w *world) feed(a *actor, e Event) {
	a.action, a.effect = Step(a.action, e, w.now)
	if r, ok := a.effect.(Reply); ok {
		a.reply, a.effect = &r, nil
	}
}

func (w *world) fault(n int) bool { return !w.healed && w.pick(n) == 0 }

// apply does a conditional write.
func (w *world) apply(l landing) bool {
	if l.absent && w.row != nil || !l.absent && (w.row == nil || l.version != fmt.Sprint(w.version)) {
		return false
	}
	w.version++
	rec := l.record
	w.row = &rec
	return true
}

func (w *world) store(l landing) Event {
	switch {
	case w.fault(12):
		return StoreFailed{}
	case w.fault(12):
		w.late = append(w.late, l)
		return StoreFailed{Unknown: true}
	}
	done := w.apply(l)
	switch {
	case w.fault(8):
		return StoreFailed{Unknown: true}
	case done:
		return Written{Version: fmt.Sprint(w.version)}
	}
	return Conflict{}
}

func (w *world) read() Event {
	switch {
	case w.fault(12):
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

func (w *world) ask(r Record, bar bool) Event {
	s := w.serverOf(r)
	switch {
	case w.fault(8):
		return Unreachable{}
	case r.Incarnation != fmt.Sprint(s.incarnation):
		return Judged{Verdict: VerdictForgotten}
	}
	verdict := s.marks.Look(r.Attempt)
	if bar {
		s.marks, verdict = s.marks.Bar(r.Attempt)
	}
	if w.fault(8) {
		return Unreachable{}
	}
	return Judged{Verdict: verdict, Answer: s.answer}
}

func (w *world) lookup() Event {
	out := Looked{Sure: true, Verdict: VerdictAbsent}
	for _, s := range w.servers {
		if w.fault(4) {
			out.Sure = false
			continue
		}
		if v := s.marks.Look(0); v != VerdictBarred {
			out.Verdict, out.Answer = v, s.answer
		}
	}
	return out
}

// act carries out one actor's pending effect.
func (w *world) act(a *actor) {
	switch e := a.effect.(type) {
	case Choose:
		n := w.pick(2)
		if w.fault(10) {
			w.feed(a, NoServer{})
			return
		}
		w.feed(a, Chosen{Server: fmt.Sprint("s", n), Incarnation: fmt.Sprint(w.servers[n].incarnation)})
	case PutIfAbsent:
		w.feed(a, w.store(landing{absent: true, record: e.Record}))
	case CompareAndSet:
		w.feed(a, w.store(landing{version: e.Version, record: e.Record}))
	case Read:
		w.feed(a, w.read())
	case Send:
		a.effect = nil
		w.messages = append(w.messages, &message{record: e.Record, actor: a})
	case Bar:
		w.feed(a, w.ask(e.Record, true))
	case Query:
		w.feed(a, w.ask(e.Record, false))
	case Lookup:
		w.feed(a, w.lookup())
	case Announce:
		w.announce(a)
	case Wait:
		w.now = w.now.Add(e.For)
		w.feed(a, Waited{})
	}
}

func (w *world) announce(a *actor) {
	if w.fault(8) {
		w.feed(a, StoreFailed{Unknown: w.pick(2) == 0})
		return
	}
	w.listed = true
	w.feed(a, Written{})
}

func (w *world) drop(m *message) {
	for i := range w.messages {
		if w.messages[i] == m {
			w.messages = append(w.messages[:i], w.messages[i+1:]...)
			return
		}
	}
}

// tell gives the event to the sender unless it stopped listening.
func (w *world) tell(m *message, e Event) {
	if m.actor != nil && !m.actor.dead {
		w.feed(m.actor, e)
	}
	m.actor = nil
}

// move takes a message one step further: start, end, or a cut connection.
func (w *world) move(m *message) {
	if w.fault(6) {
		w.tell(m, Broken{})
		return
	}
	s := w.serverOf(m.record)
	if !m.began {
		w.arrive(m, s)
		return
	}
	w.drop(m)
	if m.record.Incarnation != fmt.Sprint(s.incarnation) {
		w.tell(m, Broken{})
		return
	}
	if w.fault(10) { // the backend server ran it and cut its answer
		s.marks = s.marks.Finish(EndBroken)
		w.tell(m, Broken{})
		return
	}
	s.answer = &wire.Answer{Status: 200, Body: []byte(m.record.Token)}
	s.marks = s.marks.Finish(EndWhole)
	w.tell(m, Answered{Answer: s.answer})
}

func (w *world) arrive(m *message, s *server) {
	if w.unfenced {
		m.began = true
		s.marks.Started, s.marks.Verdict = m.record.Attempt, VerdictRunning
		w.runs = append(w.runs, run{m.record.Token, w.step})
		return
	}
	ok := m.record.Incarnation == fmt.Sprint(s.incarnation)
	marks := s.marks
	if ok {
		marks, ok = s.marks.Start(m.record.Attempt)
	}
	if !ok {
		w.drop(m)
		w.tell(m, NotStarted{Reason: "refused"})
		return
	}
	s.marks = marks
	if w.fault(8) { // the backend server could not be dialled
		s.marks = s.marks.Finish(EndNotSent)
		w.drop(m)
		w.tell(m, NotStarted{Reason: "not sent"})
		return
	}
	m.began = true
	w.runs = append(w.runs, run{m.record.Token, w.step})
}

func (w *world) restart(s *server) {
	*s = server{incarnation: s.incarnation + 1}
}

// live returns the moves that are possible now.
func (w *world) live() []func() {
	var out []func()
	for _, a := range w.actors {
		if a.effect != nil && !a.dead {
			out = append(out, func() { w.act(a) })
		}
	}
	for _, m := range w.messages {
		out = append(out, func() { w.move(m) })
	}
	for i, l := range w.late {
		out = append(out, func() {
			w.late = append(w.late[:i], w.late[i+1:]...)
			w.apply(l)
		})
	}
	return out
}

// disturb does something from outside now and then.
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

// play runs requests under faults, then heals everything and settles the action.
func (w *world) play(requests, steps int) {
	w.request(ModeRun)
	for w.step = 1; w.step < steps; w.step++ {
		w.disturb(requests)
		if moves := w.live(); len(moves) > 0 {
			moves[w.pick(len(moves))]()
		}
	}
	w.healed = true
	for w.finish(); w.row != nil && w.row.State == StateClaimed && w.step < 10*steps; {
		w.now = w.now.Add(claimGrace)
		w.request(ModeSettle)
		w.finish()
	}
}

func (w *world) finish() {
	for moves := w.live(); len(moves) > 0; moves = w.live() {
		moves[w.pick(len(moves))]()
		w.step++
	}
}
