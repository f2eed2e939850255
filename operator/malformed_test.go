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

// TestMalformedResponseOfAdministrationAPIIsUnknown has an entry answer with heads that HTTP does
// not allow.
func TestMalformedResponseOfAdministrationAPIIsUnknown(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(key, []byte(testKey), 0o600))
	for name, response := range httpstricttest.Malformed {
		t.Run(name, func(t *testing.T) {
			c, err := New(Options{URL: "http://" + httpstricttest.Serve(t, response), KeyFile: key})
			assert.NilError(t, err)
			_, err = c.Settle(t.Context(), api.SettleRequest{})
			assert.Assert(t, fault.Is(err, fault.KindUnknown), "%v", err)
		})
	}
}
