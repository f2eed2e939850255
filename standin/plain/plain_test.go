package plain

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestCallsAreRecorded(t *testing.T) {
	s := New()
	server := httptest.NewServer(s)
	defer server.Close()
	for range 2 {
		resp, err := http.Post(server.URL+"/charge", "text/plain", strings.NewReader("10"))
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	assert.Equal(t, len(s.Calls()), 2)
	assert.Equal(t, s.Calls()[0].Path, "/charge")
}

func TestCallTakesEffectWhenConnectionIsCut(t *testing.T) {
	s := New()
	s.Set(Behaviour{Cut: true})
	server := httptest.NewServer(s)
	defer server.Close()
	_, err := http.Post(server.URL+"/charge", "text/plain", strings.NewReader("10"))
	assert.Assert(t, err != nil)
	assert.Equal(t, len(s.Calls()), 1)
}
