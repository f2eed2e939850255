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

func serve(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func TestWholeStream(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.Header.Get("Authorization"), "Bearer k")
		w.Header().Set("Trailer", wire.HeaderOutcome)
		fmt.Fprint(w, "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n")
		w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeCompleted))
	})
	a, err := New("k").Do(context.Background(), url, Request{Stream: true})
	assert.NilError(t, err)
	assert.Assert(t, a.OK())
	assert.Equal(t, len(a.Gaps), 2)
	assert.Equal(t, a.Outcome, wire.OutcomeCompleted)
}

func TestStreamWithoutItsEndIsNotWhole(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "data: {}\n\n") })
	a, err := New("k").Do(context.Background(), url, Request{Stream: true})
	assert.ErrorContains(t, err, "explicit end")
	assert.Assert(t, !a.OK())
}

func TestClosedCountsFailures(t *testing.T) {
	url := serve(t, func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusServiceUnavailable) })
	r := New("k").Closed(context.Background(), []string{url}, Request{}, 2, time.Millisecond)
	assert.Equal(t, r.OK, int64(0))
	assert.Assert(t, r.Failed >= 2)
}
