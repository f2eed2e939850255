package httpstrict

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/httpstrict/httpstricttest"
)

// get sends a request to a server.
func get(t *testing.T, address string) (*http.Response, error) {
	t.Helper()
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	t.Cleanup(client.CloseIdleConnections)
	return client.Get("http://" + address)
}

func TestMalformedResponseIsRejected(t *testing.T) {
	httpstricttest.EachMalformed(t, func(t *testing.T, address string) {
		resp, err := get(t, address)
		if err == nil {
			_ = resp.Body.Close()
		}
		assert.ErrorContains(t, err, "invalid")
	})
}

// TestOtherInvalidNamesAreRejected has servers answer with names of fields that net/http rejects
// itself.
func TestOtherInvalidNamesAreRejected(t *testing.T) {
	for _, name := range []string{"", "X\x00", "X\x01Y", "X\tY", "X\t", "X\x7f", "X\x80", "X\xff", "X(Y)", "X/Y", "X[", "X\"Y\"", "X\rY", " X"} {
		resp, err := get(t, httpstricttest.Serve(t, "HTTP/1.1 200 OK\r\n"+name+": a\r\nContent-Length: 2\r\n\r\n{}"))
		if err == nil {
			_ = resp.Body.Close()
		}
		assert.ErrorContains(t, err, "malformed", "%q", name)
	}
}

// TestOtherInvalidFieldsAreRejected has servers answer with fields that net/http rejects itself.
func TestOtherInvalidFieldsAreRejected(t *testing.T) {
	for _, line := range []string{
		"no colon", "X: \x00", "X: a\x01", "X: \x7f", "X: a\rb",
		"Content-Length: ", "Content-Length: +2", "Content-Length: -2", "Content-Length: 0x2", "Content-Length: 2 2", "Content-Length: 2, 2",
		"Content-Length: 2\r\nContent-Length: 3", "Content-Length: 99999999999999999999",
		"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, chunked", "Transfer-Encoding: identity", "Transfer-Encoding: xchunked",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	} {
		resp, err := get(t, httpstricttest.Serve(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n\r\n{}"))
		if err == nil {
			_ = resp.Body.Close()
		}
		assert.Assert(t, err != nil, "%q", line)
	}
}

// TestOutermostStatusesAreAccepted has servers answer with statuses at the ends of the range.
func TestOutermostStatusesAreAccepted(t *testing.T) {
	for _, status := range []string{"200", "204", "301", "418", "599"} {
		resp, err := get(t, httpstricttest.Serve(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n"))
		assert.NilError(t, err, status)
		assert.NilError(t, resp.Body.Close())
	}
}
