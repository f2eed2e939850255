package job

import (
	"context"
	"net/http"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/dispatch"
)

// recorder keeps an answer in memory.
type recorder struct {
	header http.Header
	answer wire.Answer
}

func newRecorder() *recorder { return &recorder{header: http.Header{}} }

// Header returns the header of the answer.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader keeps the status and the header so far.
func (r *recorder) WriteHeader(status int) {
	if r.answer.Status == 0 {
		r.answer.Status = status
		r.answer.Header = wire.EndToEnd(r.header)
	}
}

// Write keeps a part of the body.
func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.answer.Body = append(r.answer.Body, p...)
	return len(p), nil
}

// Flush does nothing: the answer is read at its end.
func (r *recorder) Flush() {}

// try runs the request once. The answer is nil when there is a failure; an
// answer that was cut is a failure of unknown outcome.
func try(ctx context.Context, b Backend, req dispatch.Request) (answer *wire.Answer, f *wire.Failure) {
	rec := newRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			answer, f = nil, wire.NewFailure(http.StatusBadGateway, wire.OutcomeUnknown, codeLost, "the answer was cut")
		}
	}()
	if f := b.Serve(ctx, rec, req); f != nil {
		return nil, f
	}
	return &rec.answer, nil
}
