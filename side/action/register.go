// Package action is the side process's register of non-idempotent actions: the
// last gate for at most once. It lives in memory; the claim's incarnation
// tells a register that has forgotten from one that has not met the action.
package action

import (
	"container/list"
	"sync"
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/idempotency"
)

// Options configure a Register.
type Options struct {
	Incarnation string
	Retention   func() time.Duration // how long ends and bars are remembered
	MaxActions  int                  // actions remembered; 0 means the default
	MaxBytes    int64                // of all kept answers; 0 means the default
	Now         func() time.Time     // nil means time.Now
}

const (
	defaultMaxActions = 200_000
	defaultMaxBytes   = 16 << 20
)

// Refusal says why an attempt was not started.
type Refusal string

// The refusals. After every one but RefusedStarted the attempt never starts.
const (
	RefusedIncarnation Refusal = "other_incarnation"
	RefusedFenced      Refusal = "barred"
	RefusedStarted     Refusal = "already_started"
	RefusedFull        Refusal = "register_full"
)

// action is one remembered action.
type action struct {
	key    string
	guard  idempotency.AttemptGuard
	answer *wire.Answer
	until  time.Time     // forgotten after; zero while running
	place  *list.Element // in Register.ended; nil while running
}

// Register remembers actions. It is safe for concurrent use.
//
// Invariant: an action is forgotten only after its retention. When there is no
// room for more, new attempts are refused instead.
type Register struct {
	opts Options

	mu      sync.Mutex
	actions map[string]*action
	ended   *list.List // of *action, earliest end first
	bytes   int64      // of kept answers
	started int64
	refused int64
}

// NewRegister returns an empty register.
func NewRegister(opts Options) *Register {
	if opts.MaxActions <= 0 {
		opts.MaxActions = defaultMaxActions
	}
	if opts.MaxBytes <= 0 {
		opts.MaxBytes = defaultMaxBytes
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Register{opts: opts, actions: map[string]*action{}, ended: list.New()}
}

// Start decides whether the attempt may start now. The refusal is "" when it may.
func (r *Register) Start(c wire.Claim) Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	refusal := r.start(c)
	if refusal == "" {
		r.started++
	} else {
		r.refused++
	}
	return refusal
}

func (r *Register) start(c wire.Claim) Refusal {
	if c.Incarnation != r.opts.Incarnation {
		return RefusedIncarnation
	}
	a, ok := r.find(c.Key)
	if !ok {
		return RefusedFull
	}
	guard, ok := a.guard.Start(c.Attempt)
	switch {
	case ok:
		a.guard = guard
		r.keepOpen(a)
		return ""
	case a.guard.Started > 0:
		return RefusedStarted
	default:
		return RefusedFenced
	}
}

// Finish records the end of the attempt that Start allowed. The answer is nil
// unless the end is whole.
func (r *Register) Finish(c wire.Claim, end idempotency.End, answer *wire.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.actions[c.Key]
	if !ok || a.guard.Started != c.Attempt {
		return
	}
	a.guard = a.guard.Finish(end)
	if end == idempotency.EndComplete && answer.Size() <= r.opts.MaxBytes {
		a.answer = answer
		r.bytes += answer.Size()
	}
	r.retire(a)
	r.shed()
}

// Fence fences the attempt, so that it never starts, unless one has started. If
// the register has no free capacity for the action, the verdict is absent.
func (r *Register) Fence(c wire.Claim) (idempotency.Verdict, *wire.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Incarnation != r.opts.Incarnation {
		return idempotency.VerdictForgotten, nil
	}
	a, ok := r.find(c.Key)
	if !ok {
		return idempotency.VerdictAbsent, nil
	}
	guard, verdict := a.guard.Fence(c.Attempt)
	a.guard = guard
	if verdict == idempotency.VerdictFenced {
		r.retire(a)
	}
	return verdict, a.answer
}

// Outcome tells what became of the action. A claim with attempt 0 asks for any
// attempt that this incarnation has met.
func (r *Register) Outcome(c wire.Claim) (idempotency.Verdict, *wire.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Attempt > 0 && c.Incarnation != r.opts.Incarnation {
		return idempotency.VerdictForgotten, nil
	}
	a, ok := r.actions[c.Key]
	switch {
	case !ok:
		return idempotency.VerdictAbsent, nil
	case c.Attempt == 0 && a.guard.Started == 0:
		return idempotency.VerdictAbsent, nil
	}
	return a.guard.VerdictOf(c.Attempt), a.answer
}

// find returns the action, making room for it if there is any.
func (r *Register) find(key string) (*action, bool) {
	if a, ok := r.actions[key]; ok {
		return a, true
	}
	r.forget()
	if len(r.actions) >= r.opts.MaxActions {
		return nil, false
	}
	a := &action{key: key}
	r.actions[key] = a
	return a, true
}

// keepOpen takes a running action off the list of ended ones.
func (r *Register) keepOpen(a *action) {
	if a.place != nil {
		r.ended.Remove(a.place)
		a.place = nil
	}
}

// retire starts the retention of an action that is not running.
func (r *Register) retire(a *action) {
	r.keepOpen(a)
	a.until = r.opts.Now().Add(r.opts.Retention())
	a.place = r.ended.PushBack(a)
}

// forget drops the actions whose retention is over.
func (r *Register) forget() {
	now := r.opts.Now()
	for e := r.ended.Front(); e != nil; e = r.ended.Front() {
		a := e.Value.(*action)
		if now.Before(a.until) {
			return
		}
		r.ended.Remove(e)
		r.bytes -= a.answer.Size()
		delete(r.actions, a.key)
	}
}

// shed drops the oldest answers until the rest fits; their actions stay known.
func (r *Register) shed() {
	for e := r.ended.Front(); e != nil && r.bytes > r.opts.MaxBytes; e = e.Next() {
		a := e.Value.(*action)
		r.bytes -= a.answer.Size()
		a.answer = nil
	}
}

// Dump is the register's section of the state dump.
type Dump struct {
	Remembered  int   `json:"remembered"`
	Running     int   `json:"running"`
	AnswerBytes int64 `json:"answer_bytes"`
	Started     int64 `json:"started"`
	Refused     int64 `json:"refused"`
}

// DumpState returns the register's section of the state dump.
func (r *Register) DumpState() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Dump{
		Remembered:  len(r.actions),
		Running:     len(r.actions) - r.ended.Len(),
		AnswerBytes: r.bytes,
		Started:     r.started,
		Refused:     r.refused,
	}
}
