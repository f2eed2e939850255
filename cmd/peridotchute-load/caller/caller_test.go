package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
)

func startServer(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func TestCompleteStream(t *testing.T) {
	url := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.Header.Get("Authorization"), "Bearer k")
		w.Header().Set("Trailer", wire.HeaderOutcome)
		fmt.Fprint(w, "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n")
		w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeCompleted))
	})
	resp, err := New("k").Do(context.Background(), url, Request{Stream: true})
	assert.NilError(t, err)
	assert.Assert(t, resp.OK())
	assert.Equal(t, len(resp.Gaps), 2)
	assert.Equal(t, resp.Outcome, wire.OutcomeCompleted)
}

func TestTruncatedStreamIsNotComplete(t *testing.T) {
	url := startServer(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "data: {}\n\n") })
	resp, err := New("k").Do(context.Background(), url, Request{Stream: true})
	assert.ErrorContains(t, err, "explicit end")
	assert.Assert(t, !resp.OK())
}

func TestClosedLoopCountsFailures(t *testing.T) {
	url := startServer(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusServiceUnavailable) })
	r := New("k").RunClosedLoop(context.Background(), []string{url}, Request{}, 2, time.Millisecond)
	assert.Equal(t, r.OK, int64(0))
	assert.Assert(t, r.Failed >= 2)
}
