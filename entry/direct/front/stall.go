package front

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/exchange"
)

const (
	// stallAfter is the silence of a server after which another one is sought:
	// clients abandon a stream after a gap of 2 s or more, and another server
	// needs about 1 s to continue it.
	stallAfter         = 1500 * time.Millisecond
	stallCheckInterval = 250 * time.Millisecond // interval between checks

	// successorPatience is how long data of a server that was silent is held back
	// while the other server's answer has not begun.
	successorPatience = time.Second
)

// errSuperseded means that another server has taken the request over.
var errSuperseded = errors.New("another server has taken the request over")

// stallPhase is the progress of the search for another server.
type stallPhase int

const (
	phaseIdle       stallPhase = iota // no search
	phaseSeeking                      // waiting for another server that may get the request
	phaseSending                      // the other server has been sent the request and its answer has not begun
	phaseSuperseded                   // the other server's answer has begun; the silent attempt is over
)

// stallWatch finds another server for an attempt whose server is silent on all
// connections of this entry, as after a power loss of its VM. A sound server may
// be silent for a while and go on, so the attempt is given up only for another
// server's answer.
//
// Invariants:
//   - The attempt is canceled only in phaseSuperseded.
//   - Nothing of the silent server is forwarded in phaseSending, since the other
//     server continues after the last event forwarded before it.
//
// The methods of a nil stallWatch do nothing.
type stallWatch struct {
	run        *run
	attempt    *attempt
	ctx        context.Context // of the request
	goroutines sync.WaitGroup

	mu          sync.Mutex
	changed     *sync.Cond // signals the end of phaseSending
	timer       *time.Timer
	phase       stallPhase
	forwarding  bool             // between claim and recordEvent
	last        time.Time        // time of the attempt's latest event, or its start
	received    func() time.Time // when data of the answer was last received; nil before the answer
	silence     bool             // the current silence has been recorded
	withheld    bool             // a reason against another server has been recorded for the current silence
	cancelPhase context.CancelFunc
	retryTaken  time.Time // when the retry of phaseSending was taken from the budget
	successor   *attempt  // set in phaseSuperseded
	left        int       // further servers that the request may be sent to
	sent        int       // other servers that the request was sent to
	tried       int       // other servers chosen, including those that could not be reached
	failed      []string  // IDs of other servers that failed or declined the request
	mayHaveRun  bool      // one of these may have run the request
	ended       bool
}

// watch starts a stallWatch for an attempt that may be retried. It returns nil
// for any other attempt, which runs until the request's deadline.
func (r *run) watch(ctx context.Context, a *attempt) *stallWatch {
	left := r.req.route.MaxAttempts - r.sent
	if a.answer == nil {
		left-- // for the attempt itself
	}
	if !r.retriable() || left <= 0 {
		return nil
	}
	w := &stallWatch{run: r, attempt: a, ctx: ctx, last: time.Now(), left: left}
	if a.answer != nil {
		w.received = a.answer.LastReceived
	}
	w.changed = sync.NewCond(&w.mu)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallAfter, w.check)
	return w
}

// answered records the head of the server's answer. A server that sends an event or a
// body slowly is not silent.
func (w *stallWatch) answered(resp *exchange.Response) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received = resp.LastReceived
}

// claim must be called before anything that the server sent is forwarded. It
// ends the search for another server. If the other server has been sent the
// request, claim waits for its answer; errSuperseded means that the other server
// has taken the request over.
func (w *stallWatch) claim() error {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.awaitSuccessor(successorPatience)
	if w.phase == phaseSuperseded {
		return errSuperseded
	}
	w.stopSeeking()
	w.forwarding = true
	return nil
}

// awaitSuccessor waits for the end of phaseSending. After the given time it
// cancels the other server's attempt. The caller holds mu.
func (w *stallWatch) awaitSuccessor(patience time.Duration) {
	if w.phase != phaseSending {
		return
	}
	impatient := time.AfterFunc(patience, w.withdraw)
	defer impatient.Stop()
	for w.phase == phaseSending {
		w.changed.Wait()
	}
}

// withdraw cancels the other server's attempt unless its answer has begun.
func (w *stallWatch) withdraw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.phase == phaseSending {
		w.cancelPhase()
	}
}

// stopSeeking ends phaseSeeking. The caller holds mu.
func (w *stallWatch) stopSeeking() {
	if w.phase == phaseSeeking {
		w.cancelPhase()
		w.phase = phaseIdle
	}
}

// recordEvent records that data of the server has been forwarded.
func (w *stallWatch) recordEvent() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = time.Now()
	w.forwarding, w.silence, w.withheld = false, false, false
}

// takeSuccessor ends the search and returns the attempt that has taken the request
// over, or nil. It waits for the answer of a server that has been sent the
// request. The caller becomes the owner of the attempt.
func (w *stallWatch) takeSuccessor() *attempt {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.phase == phaseSending {
		w.changed.Wait()
	}
	w.stopSeeking()
	w.end()
	s := w.successor
	w.successor = nil
	return s
}

// stop ends the watch. An attempt that nobody took is canceled.
func (w *stallWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.end()
	if w.phase == phaseSeeking || w.phase == phaseSending {
		w.cancelPhase()
	}
	w.mu.Unlock()
	w.goroutines.Wait()
	if w.successor != nil {
		w.successor.end()
		w.successor = nil
	}
}

// end prevents further checks. The caller holds mu.
func (w *stallWatch) end() {
	w.ended = true
	w.timer.Stop()
}

// check starts the search for another server if the server is silent.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended || w.ctx.Err() != nil {
		return
	}
	w.timer.Reset(stallCheckInterval)
	if w.phase != phaseIdle || w.left <= 0 || !w.isSilent() || w.stopping() || w.budgetSpent() {
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.phase, w.cancelPhase = phaseSeeking, cancel
	q := w.run.query()
	q.Exclude = slices.Concat(q.Exclude, []string{w.attempt.ticket.Server.ID}, w.failed)
	q.Successor = true
	w.goroutines.Go(func() {
		defer cancel()
		w.seek(ctx, q)
	})
}

// isSilent reports whether the server is silent, and records the start of each
// silence. The caller holds mu.
func (w *stallWatch) isSilent() bool {
	ticket := w.attempt.ticket
	if w.forwarding || time.Since(w.last) < stallAfter+ticket.Expected {
		return false
	}
	if w.received != nil && time.Since(w.received()) < stallAfter {
		return false
	}
	silent := ticket.Silence()
	if silent < stallAfter {
		return false
	}
	if !w.silence {
		w.silence = true
		ticket.Stalled()
		w.run.record.serverSilent(w.attempt, silent)
	}
	return true
}

// stopping reports whether a planned stop allows no further attempt, and records that. The
// caller holds mu.
func (w *stallWatch) stopping() bool {
	if w.run.f.mayBegin(w.run.req, true) {
		return false
	}
	w.recordWithheld(decisionlog.WithheldStopping)
	return true
}

// budgetSpent reports whether the retry budget allows no further attempt, and
// records that. The caller holds mu.
func (w *stallWatch) budgetSpent() bool {
	if w.run.f.opts.Balancer.BudgetLeft(w.run.req.service) >= 1 {
		return false
	}
	w.recordWithheld(decisionlog.WithheldBudget)
	return true
}

// recordWithheld records once in a silence why no other server gets the request.
// The caller holds mu.
func (w *stallWatch) recordWithheld(reason decisionlog.WithheldReason) {
	if !w.withheld {
		w.withheld = true
		w.run.record.retryWithheld(reason, w.run.f.opts.Balancer.BudgetLeft(w.run.req.service))
	}
}
