package store

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/httpstrict/httpstricttest"
)

// TestMalformedResponseOfStoreIsRejected has a store answer with heads that HTTP does not allow.
func TestMalformedResponseOfStoreIsRejected(t *testing.T) {
	for name, response := range httpstricttest.Malformed {
		t.Run(name, func(t *testing.T) {
			client := &http.Client{Transport: newTransport()}
			resp, err := client.Get("http://" + httpstricttest.Serve(t, response))
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.ErrorContains(t, err, "invalid")
		})
	}
}
