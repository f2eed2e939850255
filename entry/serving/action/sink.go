package action

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"peridotchute.example/common/wire"
)

// sink writes one answer to a caller, possibly in parts from several sources with
// identical bytes.
//
// Invariant: while the caller is connected, exactly the first sentBytes bytes of
// the answer's body were written to it.
type sink struct {
	w            http.ResponseWriter
	started      bool
	sentBytes    int
	disconnected bool // a write or flush to the caller failed
}

// begin sends the header of a streamed answer, unless it was sent before.
func (s *sink) begin(status int, header http.Header) {
	if s.started {
		return
	}
	s.started = true
	copyHeader(s.w.Header(), header)
	s.w.Header().Set("Trailer", wire.HeaderOutcome)
	s.w.WriteHeader(status)
}

// write sends and flushes the next bytes. It ignores errors, because an action
// continues after its caller has disconnected.
func (s *sink) write(p []byte) {
	s.sentBytes += len(p)
	if s.disconnected {
		return
	}
	if _, err := s.w.Write(p); err != nil {
		s.disconnected = true
		return
	}
	s.disconnected = http.NewResponseController(s.w).Flush() != nil
}

// writeWhole sends a complete answer, or the rest of a stream that has started.
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

// abort ends a stream that cannot be completed. It sends an error event with the
// outcome and panics with http.ErrAbortHandler, which closes the connection so
// that the stream does not look complete.
func (s *sink) abort(f *wire.Failure) {
	body, err := json.Marshal(streamError{Error: f.Detail, Outcome: f.Outcome})
	if err == nil {
		s.write(fmt.Appendf(nil, "\n\nevent: error\ndata: %s\n\n", body))
	}
	panic(http.ErrAbortHandler)
}

// streamError is the data of the error event that ends an incomplete stream.
type streamError struct {
	Error   wire.ErrorDetail `json:"error"`
	Outcome wire.Outcome     `json:"outcome"`
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
