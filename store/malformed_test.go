package store

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/httpstrict/httpstricttest"
)

// TestMalformedResponseOfStoreIsRejected has a store answer with heads that HTTP does not allow.
func TestMalformedResponseOfStoreIsRejected(t *testing.T) {
	httpstricttest.EachMalformed(t, func(t *testing.T, address string) {
		client := &http.Client{Transport: newTransport()}
		resp, err := client.Get("http://" + address)
		if err == nil {
			_ = resp.Body.Close()
		}
		assert.ErrorContains(t, err, "invalid")
	})
}

// TestResponseCutDuringUploadLooksComplete has a store answer during an upload, without a length,
// and reset the connection within the answer.
func TestResponseCutDuringUploadLooksComplete(t *testing.T) {
	client := &http.Client{Transport: bufferedBodyTransport{next: newTransport()}}
	body := strings.NewReader(strings.Repeat("b", httpstricttest.UploadBytes))
	resp, err := client.Post("http://"+httpstricttest.ServeCut(t, httpstricttest.CutDuringUpload), "text/plain", body)
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		_, err = io.ReadAll(resp.Body)
	}
	assert.Assert(t, err != nil)
}
