package batch

import (
	"time"

	"peridotchute.example/routing"
)

// request is one request of a client, with its state over all attempts.
type request struct {
	kind                      *Kind
	model                     int
	parts                     []routing.Part
	inputTokens, outputTokens int
	created                   time.Time
	deadline                  time.Time
	retriesLeft               int // by the client, after rejections

	gotEvent    bool // the client has received an event
	lastEventAt time.Time
	late        bool // an event exceeded Objective or MaxGap
	firstLate   bool // the first event exceeded Objective
	generated   int  // answer tokens received by the entry
	rejections  int
	completed   bool // its outcome has been counted
	served      bool // the whole answer was received
}

// sendToEntry sends a request to a random entry.
func (w *world) sendToEntry(r *request) {
	t := w.result.Kinds[r.kind.Name]
	if r.rejections == 0 {
		t.Arrived++
		t.MaxValue += r.kind.Value * r.size()
		t.requests = append(t.requests, sizedRequest{r.size(), &r.served})
	}
	e := w.entries[w.rnd.IntN(len(w.entries))]
	w.clock.after(clientDelay, func() { e.arrive(r) })
}

const (
	minSize           = 0.3 // share of the mean size that does not depend on the tokens
	maxSize           = 4   // relative to the mean
	outputTokenWeight = 10  // input tokens that an output token counts as
)

// size returns the request's size relative to the mean of its kind. The value of a
// request is proportional to its size.
func (r *request) size() float64 {
	k := r.kind
	if k.MeanServiceTime > 0 {
		return 1
	}
	mean := k.Input.Mean + float64(k.SystemTokens+k.DocumentTokens) + outputTokenWeight*k.Output.Mean
	return min(minSize+(1-minSize)*float64(r.inputTokens+outputTokenWeight*r.outputTokens)/mean, maxSize)
}

// recordEvent records that the client receives an event at a time.
func (r *request) recordEvent(at time.Time) {
	switch {
	case !r.gotEvent:
		r.firstLate = at.Sub(r.created) > r.kind.Objective
		r.late = r.firstLate
	case at.Sub(r.lastEventAt) > r.kind.MaxGap:
		r.late = true
	}
	r.gotEvent, r.lastEventAt = true, at
}

// countServed counts a whole answer and its value, once per request.
func (w *world) countServed(r *request) {
	t := w.result.Kinds[r.kind.Name]
	if r.completed {
		return
	}
	r.completed, r.served = true, true
	if r.late {
		t.Late++
		if !r.firstLate {
			t.Paused++
		}
		t.Value += r.kind.LateValue * r.size()
		return
	}
	t.OnTime++
	t.Value += r.kind.Value * r.size()
}

func (w *world) countFailed(r *request) {
	if !r.completed {
		r.completed = true
		w.result.Kinds[r.kind.Name].Failed++
	}
}

func (w *world) countRejected(r *request) {
	t := w.result.Kinds[r.kind.Name]
	if r.completed {
		return
	}
	r.completed = true
	t.Rejected++
	if r.rejections > 1 {
		t.RejectedTwice++
	}
}

// retryLater rejects a request. The client sends it again after delay and jitter if
// it has retries left.
func (w *world) retryLater(r *request, delay time.Duration) {
	r.rejections++
	if r.retriesLeft == 0 {
		w.countRejected(r)
		return
	}
	r.retriesLeft--
	jitter := time.Duration(w.rnd.Int64N(int64(retryJitter)))
	w.clock.after(delay+2*clientDelay+jitter, func() { w.sendToEntry(r) })
}
