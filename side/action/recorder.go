package action

import (
	"net/http"

	"peridotchute.example/common/wire"
	"peridotchute.example/idempotency"
)

// recorder passes an answer on to the entry and keeps a copy. When the entry
// leaves, the copy is still completed.
type recorder struct {
	w      http.ResponseWriter
	gone   bool
	answer wire.Answer
	long   bool  // too long to be kept
	limit  int64 // of the kept body, bytes
}

// Header returns the header of the answer.
func (r *recorder) Header() http.Header { return r.w.Header() }

// WriteHeader sends and keeps the status.
func (r *recorder) WriteHeader(status int) {
	if r.answer.Status != 0 {
		return
	}
	r.answer.Status = status
	r.answer.Header = wire.EndToEnd(r.w.Header())
	r.w.WriteHeader(status)
}

// Write sends and keeps a part of the body. It does not fail.
func (r *recorder) Write(p []byte) (int, error) {
	if r.answer.Status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if int64(len(r.answer.Body)+len(p)) > r.limit {
		r.long = true
		r.answer.Body = nil
	}
	if !r.long {
		r.answer.Body = append(r.answer.Body, p...)
	}
	if !r.gone {
		_, err := r.w.Write(p)
		r.gone = err != nil
	}
	return len(p), nil
}

// FlushError sends what was written so far. It does not fail.
func (r *recorder) FlushError() error {
	if !r.gone {
		r.gone = http.NewResponseController(r.w).Flush() != nil
	}
	return nil
}

// end tells how the call ended, by the outcome that the gate put in the header.
func (r *recorder) end(cut bool) idempotency.End {
	switch {
	case cut || r.answer.Status == 0:
		return idempotency.EndBroken
	case r.w.Header().Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun):
		return idempotency.EndNotSent
	case r.w.Header().Get(wire.HeaderOutcome) == string(wire.OutcomeUnknown):
		return idempotency.EndBroken
	}
	return idempotency.EndComplete
}

// kept returns the copy, or nil when it was too long.
func (r *recorder) kept() *wire.Answer {
	if r.long {
		return nil
	}
	return &r.answer
}
