package gate

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/httpstrict/httpstricttest"
	"peridotchute.example/common/wire"
)

// startGateOf starts a gate in front of the backend server at an address and returns its URL.
func startGateOf(t *testing.T, address string) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	gate := httptest.NewServer(New(Options{Key: testKey, BackendURL: "http://" + address, Incarnation: "i", Log: log}))
	t.Cleanup(gate.Close)
	return gate.URL
}

// TestMalformedResponseOfBackendServerIsUnknown has a backend server answer with heads that HTTP
// does not allow. The entry must learn that the outcome of the request is unknown.
func TestMalformedResponseOfBackendServerIsUnknown(t *testing.T) {
	httpstricttest.EachMalformed(t, func(t *testing.T, address string) {
		resp, err := send(t, startGateOf(t, address), strings.NewReader("prompt"))
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
		assert.Equal(t, resp.Header.Get(wire.HeaderOutcome), string(wire.OutcomeUnknown))
	})
}

// TestMalformedResponseToActionIsRejected does the same on a connection for an action.
func TestMalformedResponseToActionIsRejected(t *testing.T) {
	claim := wire.Claim{Key: "k", Attempt: 1, Incarnation: "i"}
	httpstricttest.EachMalformed(t, func(t *testing.T, address string) {
		r := httptest.NewRequest(http.MethodPost, "/pay", nil)
		r.Header.Set(wire.HeaderClaim, claim.String())
		resp, err := newBackend("http://"+address).call(r, []byte("{}"))
		if err == nil {
			_ = resp.Body.Close()
		}
		assert.ErrorContains(t, err, "invalid")
	})
}

// TestResponseCutDuringUploadLooksComplete has a backend server answer during an upload, without a
// length, and reset the connection within the answer.
func TestResponseCutDuringUploadLooksComplete(t *testing.T) {
	url := startGateOf(t, httpstricttest.ServeCut(t, httpstricttest.CutDuringUpload))
	resp, err := send(t, url, strings.NewReader(strings.Repeat("b", httpstricttest.UploadBytes)))
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil || resp.StatusCode == http.StatusBadGateway, "status %d", resp.StatusCode)
}
