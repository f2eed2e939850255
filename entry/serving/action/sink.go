package action

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"peridotchute.example/common/wire"
)

// sink writes one answer to a caller, possibly in parts from several sources
// that hold the same bytes.
//
// Invariant: the caller has received exactly the first sent bytes of the answer.
type sink struct {
	w          http.ResponseWriter
	started    bool
	sentBytes  int
	callerLeft bool // the caller has left
}

// begin sends the head of a streamed answer.
func (s *sink) begin(status int, header http.Header) {
	if s.started {
		return
	}
	s.started = true
	copyHeader(s.w.Header(), header)
	s.w.Header().Set("Trailer", wire.HeaderOutcome)
	s.w.WriteHeader(status)
}

// write sends the next bytes at once. It does not fail: an action goes on when
// its caller has left.
func (s *sink) write(p []byte) {
	s.sentBytes += len(p)
	if s.callerLeft {
		return
	}
	if _, err := s.w.Write(p); err != nil {
		s.callerLeft = true
		return
	}
	s.callerLeft = http.NewResponseController(s.w).Flush() != nil
}

// writeWhole sends a writeWhole answer, or the rest of one that had begun.
func (s *sink) writeWhole(a *wire.Answer) {
	if s.started {
		s.write(a.Body[min(s.sentBytes, len(a.Body)):])
		s.w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeCompleted))
		return
	}
	copyHeader(s.w.Header(), a.Header)
	s.w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeCompleted))
	s.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	s.w.WriteHeader(a.Status)
	_, _ = s.w.Write(a.Body)
}

// abort ends a stream that has begun and cannot be finished: an error event
// tells the outcome, and the cut connection that the stream is not whole.
func (s *sink) abort(f *wire.Failure) {
	body, err := json.Marshal(streamError{Error: f.Detail, Outcome: f.Outcome})
	if err == nil {
		s.write(fmt.Appendf(nil, "\n\nevent: error\ndata: %s\n\n", body))
	}
	panic(http.ErrAbortHandler)
}

// streamError is the data of the last event of a stream that cannot be finished.
type streamError struct {
	Error   wire.ErrorDetail `json:"error"`
	Outcome wire.Outcome     `json:"outcome"`
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
