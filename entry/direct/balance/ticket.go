package balance

import (
	"time"

	"peridotchute.example/fleet"
)

// Ticket is one attempt in progress at a server. End must be called.
type Ticket struct {
	Server   *fleet.Server
	Expected time.Duration // until the first event

	b       *Balancer
	st      *state
	prefill int // tokens that count as not yet read
	ended   bool
}

const (
	avoidFirst = 500 * time.Millisecond // after a failure; doubles with each further one
	avoidMost  = 8 * time.Second
	avoidFull  = 150 * time.Millisecond // after the server declined a request
)

// Event notes that something of the answer was received.
func (t *Ticket) Event() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.read()
}

func (t *Ticket) read() {
	now := time.Now()
	t.st.heard, t.st.waiting = now, now
	t.st.prefill -= t.prefill
	t.prefill = 0
}

// Succeeded notes that the server answered well.
func (t *Ticket) Succeeded() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.read()
	t.st.failures = 0
}

// Failed notes that the server failed the attempt.
func (t *Ticket) Failed() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	pause := min(avoidFirst<<min(t.st.failures, 4), avoidMost)
	t.st.failures++
	t.st.avoidTill = time.Now().Add(pause)
}

// Declined notes that the server did not take the request; gone that it is
// another one, or lacks the model.
func (t *Ticket) Declined(gone bool) {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	t.read()
	t.st.avoidTill = time.Now().Add(avoidFull)
}

// ServerSilent reports whether nothing was received from the server for d
// though it owes an answer.
func (t *Ticket) ServerSilent(d time.Duration) bool {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	return time.Since(t.st.heard) >= d && time.Since(t.st.waiting) >= d
}

// End ends the attempt.
func (t *Ticket) End() {
	t.b.mu.Lock()
	defer t.b.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	t.st.inFlight--
	t.st.prefill -= t.prefill
	t.prefill = 0
}
