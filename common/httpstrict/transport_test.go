package httpstrict

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/httpstrict/httpstricttest"
)

// get sends a request to a server that answers with the given bytes.
func get(t *testing.T, response string) (*http.Response, error) {
	t.Helper()
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	t.Cleanup(client.CloseIdleConnections)
	return client.Get("http://" + httpstricttest.Serve(t, response))
}

func TestMalformedResponseIsRejected(t *testing.T) {
	for name, response := range httpstricttest.Malformed {
		t.Run(name, func(t *testing.T) {
			resp, err := get(t, response)
			if err == nil {
				_ = resp.Body.Close()
			}
			assert.ErrorContains(t, err, "invalid")
		})
	}
}

// TestOutermostStatusesAreAccepted has servers answer with statuses at the ends of the range.
func TestOutermostStatusesAreAccepted(t *testing.T) {
	for _, status := range []string{"200", "204", "301", "418", "599"} {
		resp, err := get(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n")
		assert.NilError(t, err, status)
		assert.NilError(t, resp.Body.Close())
	}
}
