package job

import (
	"context"
	"net/http"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/dispatch"
)

// recorder is an http.ResponseWriter that keeps the response in memory.
type recorder struct {
	header http.Header
	answer wire.Answer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}} }

// Header returns the header of the response.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader records the status and the current header.
func (r *recorder) WriteHeader(status int) {
	if r.answer.Status == 0 {
		r.answer.Status = status
		r.answer.Header = wire.EndToEnd(r.header)
	}
}

// Write appends p to the body.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.answer.Body = append(r.answer.Body, p...)
	return len(p), nil
}

// Flush does nothing: the response is read once it is complete.
func (r *recorder) Flush() {}

// serveRecorded runs the request once. It returns either the response or a
// failure; an aborted response is a failure with an unknown outcome.
func serveRecorded(ctx context.Context, b Backend, req dispatch.Request) (answer *wire.Answer, f *wire.Failure) {
	rec := newRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			answer, f = nil, wire.NewFailure(http.StatusBadGateway, wire.OutcomeUnknown, codeUnresolved, "the response was aborted")
		}
	}()
	if f := b.Serve(ctx, rec, req); f != nil {
		return nil, f
	}
	return &rec.answer, nil
}
