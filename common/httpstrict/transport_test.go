package httpstrict

import (
	"io"
	"net/http"
	"sync/atomic"
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

// TestInvalidNameOfTrailerIsAccepted has servers end responses with names of trailer fields that
// net/http accepts, and keep their connections, which must carry no other request.
func TestInvalidNameOfTrailerIsAccepted(t *testing.T) {
	for _, name := range []string{"X Kept", "X-Kept ", "X  Kept", "Content-Length "} {
		var connections atomic.Int32
		address := httpstricttest.ServeKept(t, httpstricttest.MalformedTrailer(name), func() { connections.Add(1) })
		client := &http.Client{Transport: NewTransport(&http.Transport{})}
		t.Cleanup(client.CloseIdleConnections)
		for i := range 2 {
			resp, err := client.Get("http://" + address)
			assert.NilError(t, err, "%q", name)
			_, err = io.ReadAll(resp.Body)
			assert.ErrorContains(t, err, "invalid field name", "%q", name)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, connections.Load(), int32(i+1), "%q", name)
		}
	}
	address := httpstricttest.Serve(t, httpstricttest.MalformedTrailer("X-Sound"))
	resp, err := get(t, address)
	assert.NilError(t, err)
	_, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
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
