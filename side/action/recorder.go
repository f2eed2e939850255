package action

import (
	"net/http"

	"peridotchute.example/common/wire"
	"peridotchute.example/idempotency"
)

// recorder writes a response to the entry and keeps a copy. The copy is completed
// even if the entry disconnects.
type recorder struct {
	w            http.ResponseWriter
	disconnected bool
	answer       wire.Answer
	tooLong      bool  // body exceeds limit
	limit        int64 // bytes of the recorded body
}

// Header returns the response header.
func (r *recorder) Header() http.Header { return r.w.Header() }

// WriteHeader sends and records the status and the header.
func (r *recorder) WriteHeader(status int) {
	if r.answer.Status != 0 {
		return
	}
	r.answer.Status = status
	r.answer.Header = wire.EndToEnd(r.w.Header())
	r.w.WriteHeader(status)
}

// Write sends and records a part of the body. It never returns an error.
func (r *recorder) Write(p []byte) (int, error) {
	if r.answer.Status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	if int64(len(r.answer.Body)+len(p)) > r.limit {
		r.tooLong = true
		r.answer.Body = nil
	}
	if !r.tooLong {
		r.answer.Body = append(r.answer.Body, p...)
	}
	if !r.disconnected {
		_, err := r.w.Write(p)
		r.disconnected = err != nil
	}
	return len(p), nil
}

// FlushError sends buffered data to the entry. It never returns an error.
func (r *recorder) FlushError() error {
	if !r.disconnected {
		r.disconnected = http.NewResponseController(r.w).Flush() != nil
	}
	return nil
}

// end returns how the attempt ended, based on the outcome that the gate has set in
// the response header.
func (r *recorder) end(aborted bool) idempotency.End {
	switch {
	case aborted || r.answer.Status == 0:
		return idempotency.EndBroken
	case r.w.Header().Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun):
		return idempotency.EndNotSent
	case r.w.Header().Get(wire.HeaderOutcome) == string(wire.OutcomeUnknown):
		return idempotency.EndBroken
	}
	return idempotency.EndComplete
}

// savedAnswer returns the recorded answer, or nil if it exceeds the limit.
func (r *recorder) savedAnswer() *wire.Answer {
	if r.tooLong {
		return nil
	}
	return &r.answer
}
