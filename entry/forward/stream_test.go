package forward

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\ndata: [DONE]\n\n"

func TestCutStreamKeepsWholeEventsOnly(t *testing.T) {
	for cut := range len(wholeStream) {
		w := httptest.NewRecorder()
		relay := NewRelay(w)
		err := relay.Copy(strings.NewReader(wholeStream[:cut]))
		assert.Assert(t, errors.Is(err, ErrCut), "cut at %d", cut)
		got := w.Body.String()
		assert.Assert(t, strings.HasPrefix(wholeStream, got) && (got == "" || strings.HasSuffix(got, "\n\n")), "cut at %d: %q", cut, got)
	}
}

func TestResumedStreamIsWhole(t *testing.T) {
	w := httptest.NewRecorder()
	relay := NewRelay(w)
	assert.Assert(t, errors.Is(relay.Copy(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda")), ErrCut))
	assert.Equal(t, relay.LastID(), "1")
	assert.NilError(t, relay.Copy(strings.NewReader("id: 2\ndata: b\n\ndata: [DONE]\n\n")))
	assert.Equal(t, w.Body.String(), wholeStream)
}

func TestLineLongerThanTheBuffer(t *testing.T) {
	long := "data: " + strings.Repeat("x", 4096*3-len("data: ")) + "\n"
	text := long + "id: 7\n\ndata: [DONE]\n\n"
	w := httptest.NewRecorder()
	relay := NewRelay(w)
	assert.NilError(t, relay.Copy(strings.NewReader(text)))
	assert.Equal(t, w.Body.String(), text)
	assert.Equal(t, relay.LastID(), "7")
}
