package forward

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
)

const wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"

func TestTruncatedStreamKeepsOnlyWholeEvents(t *testing.T) {
	for cut := range len(wholeStream) {
		w := httptest.NewRecorder()
		relay := NewRelay(w)
		err := relay.Copy(io.NopCloser(strings.NewReader(wholeStream[:cut])))
		assert.Assert(t, errors.Is(err, ErrTruncated), "cut at %d", cut)
		got := w.Body.String()
		assert.Assert(t, strings.HasPrefix(wholeStream, got) && (got == "" || strings.HasSuffix(got, "\n\n")), "cut at %d: %q", cut, got)
	}
}

func TestResumedStreamIsWhole(t *testing.T) {
	w := httptest.NewRecorder()
	relay := NewRelay(w)
	assert.Assert(t, errors.Is(relay.Copy(io.NopCloser(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))), ErrTruncated))
	assert.Equal(t, relay.LastID(), "1")
	assert.NilError(t, relay.Copy(io.NopCloser(strings.NewReader("id: 2\ndata: b\n\ndata: [DONE]\n\n"))))
	assert.Equal(t, w.Body.String(), wholeStream)
}

func TestLineLongerThanTheBuffer(t *testing.T) {
	longLine := "data: " + strings.Repeat("x", 4096*3-len("data: ")) + "\n"
	text := longLine + "id: 7\n\ndata: [DONE]\n\n"
	w := httptest.NewRecorder()
	relay := NewRelay(w)
	assert.NilError(t, relay.Copy(io.NopCloser(strings.NewReader(text))))
	assert.Equal(t, w.Body.String(), text)
	assert.Equal(t, relay.LastID(), "7")
}

// TestEventOfShortLinesIsBuffered has a source send an event of short lines that is longer
// than maxEventBytes. Its size was once checked only within long lines.
func TestEventOfShortLinesIsBuffered(t *testing.T) {
	text := strings.Repeat("data: a\n", maxEventBytes/8+1) + "\n" + wholeStream
	w := httptest.NewRecorder()
	err := NewRelay(w).Copy(io.NopCloser(strings.NewReader(text)))
	assert.Assert(t, errors.Is(err, ErrTruncated), "%v", err)
	assert.Equal(t, w.Body.Len(), 0)
}

// TestConnectionIsReusedAfterAStream checks that consecutive streams share one
// connection.
func TestConnectionIsReusedAfterAStream(t *testing.T) {
	var opened atomic.Int64
	source := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
		for event := range strings.SplitAfterSeq(wholeStream, "\n\n") {
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
		}
	}))
	source.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	source.Start()
	defer source.Close()
	f := New("key", nil)
	for range 50 {
		call := Call{Method: http.MethodPost, Path: "/", RequestID: "r", Deadline: time.Now().Add(time.Minute)}
		resp, err := f.Send(context.Background(), source.Listener.Addr().String(), call)
		assert.NilError(t, err)
		assert.NilError(t, NewRelay(httptest.NewRecorder()).Copy(resp.Body))
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, opened.Load(), int64(1))
}

func TestStreamWithoutIDsCannotBeResumed(t *testing.T) {
	relay := NewRelay(httptest.NewRecorder())
	assert.Assert(t, errors.Is(relay.Copy(io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))), ErrTruncated))
	assert.Assert(t, relay.Resumable())
	assert.Assert(t, errors.Is(relay.Copy(io.NopCloser(strings.NewReader("data: b\n\n"))), ErrTruncated))
	assert.Assert(t, !relay.Resumable())
}
