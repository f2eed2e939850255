package operator

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/httpstrict/httpstricttest"
	"peridotchute.example/operator/api"
)

// newClientOf returns a client of the entry at an address.
func newClientOf(t *testing.T, address string) *Client {
	t.Helper()
	key := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(key, []byte(testKey), 0o600))
	c, err := New(Options{URL: "http://" + address, KeyFile: key})
	assert.NilError(t, err)
	return c
}

// TestMalformedResponseOfAdministrationAPIIsUnknown has an entry answer with heads that HTTP does
// not allow.
func TestMalformedResponseOfAdministrationAPIIsUnknown(t *testing.T) {
	httpstricttest.EachMalformed(t, func(t *testing.T, address string) {
		_, err := newClientOf(t, address).Settle(t.Context(), api.SettleRequest{})
		assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
	})
}

// TestResponseCutDuringUploadLooksComplete has an entry answer during an upload, without a length,
// and reset the connection within the answer.
func TestResponseCutDuringUploadLooksComplete(t *testing.T) {
	c := newClientOf(t, httpstricttest.ServeCut(t, httpstricttest.CutDuringUpload))
	_, err := c.Plan(t.Context(), make([]byte, httpstricttest.UploadBytes))
	assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
}
