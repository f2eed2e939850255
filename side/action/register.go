// Package action runs non-idempotent actions in the side process and keeps the
// register that lets each action start at most once. The register is in memory:
// the incarnation in a claim shows whether the register may have lost the action
// in a restart or has never received it.
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
	Retention   func() time.Duration // how long ended and fenced attempts are remembered
	MaxActions  int                  // limit of remembered actions; 0 means the default
	MaxBytes    int64                // limit of all recorded answers; 0 means the default
	Now         func() time.Time     // nil means time.Now
}

const (
	defaultMaxActions = 200_000
	defaultMaxBytes   = 16 << 20
)

// Refusal is the reason why an attempt was not started.
type Refusal string

// Refusals. Except with RefusedStarted, this attempt never starts.
const (
	RefusedIncarnation Refusal = "other_incarnation"
	RefusedFenced      Refusal = "barred"
	RefusedStarted     Refusal = "already_started"
	RefusedFull        Refusal = "register_full"
)

// action is one remembered action.
type action struct {
	key       string
	guard     idempotency.AttemptGuard
	answer    *wire.Answer
	expiresAt time.Time     // end of the retention; set when the action ends or is fenced
	element   *list.Element // in Register.ended; nil while running
}

// Register remembers actions. It is safe for concurrent use.
//
// Invariant: an action is forgotten only after its retention. If the register is
// full, new attempts are rejected instead.
type Register struct {
	opts Options

	mu      sync.Mutex
	actions map[string]*action
	ended   *list.List // *action, earliest end first
	bytes   int64      // of recorded answers
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

// Start records the start of the attempt and returns "" if the attempt may start
// now, or else the refusal.
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
	a, ok := r.findOrAdd(c.Key)
	if !ok {
		return RefusedFull
	}
	guard, ok := a.guard.Start(c.Attempt)
	switch {
	case ok:
		a.guard = guard
		r.removeFromEnded(a)
		return ""
	case a.guard.Started > 0:
		return RefusedStarted
	default:
		return RefusedFenced
	}
}

// Finish records the end of an attempt that Start has admitted. The answer is only
// used with EndComplete; nil means that it is not available.
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
	r.startRetention(a)
	r.dropOldestAnswers()
}

// Fence fences the attempt, so that it never starts, unless one has started. If
// the register has no free capacity for the action, the verdict is absent.
func (r *Register) Fence(c wire.Claim) (idempotency.Verdict, *wire.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Incarnation != r.opts.Incarnation {
		return idempotency.VerdictForgotten, nil
	}
	a, ok := r.findOrAdd(c.Key)
	if !ok {
		return idempotency.VerdictAbsent, nil
	}
	guard, verdict := a.guard.Fence(c.Attempt)
	a.guard = guard
	if verdict == idempotency.VerdictFenced {
		r.startRetention(a)
	}
	return verdict, a.answer
}

// Outcome returns the verdict on the attempt and the recorded answer. A claim with
// attempt 0 queries the last attempt started in this incarnation.
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

// findOrAdd returns the action and adds it if it is new. It returns false if the
// register is full.
func (r *Register) findOrAdd(key string) (*action, bool) {
	if a, ok := r.actions[key]; ok {
		return a, true
	}
	r.dropExpired()
	if len(r.actions) >= r.opts.MaxActions {
		return nil, false
	}
	a := &action{key: key}
	r.actions[key] = a
	return a, true
}

// removeFromEnded removes the action from the list of ended actions, if it is there.
func (r *Register) removeFromEnded(a *action) {
	if a.element != nil {
		r.ended.Remove(a.element)
		a.element = nil
	}
}

// startRetention starts the retention period of an action that is not running.
func (r *Register) startRetention(a *action) {
	r.removeFromEnded(a)
	a.expiresAt = r.opts.Now().Add(r.opts.Retention())
	a.element = r.ended.PushBack(a)
}

// dropExpired removes the actions whose retention is over.
func (r *Register) dropExpired() {
	now := r.opts.Now()
	for e := r.ended.Front(); e != nil; e = r.ended.Front() {
		a := e.Value.(*action)
		if now.Before(a.expiresAt) {
			return
		}
		r.ended.Remove(e)
		r.bytes -= a.answer.Size()
		delete(r.actions, a.key)
	}
}

// dropOldestAnswers removes the oldest answers until the rest fits into
// MaxBytes. Their actions are still remembered.
func (r *Register) dropOldestAnswers() {
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
