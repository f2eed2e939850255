package httpstrict

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOnlyOldResponsesAreRecorded receives responses in pieces of each length.
func TestOnlyOldResponsesAreRecorded(t *testing.T) {
	for response, recorded := range map[string]bool{
		"HTTP/1.0 200 OK\r\n\r\n": true,
		"HTTP/1.1 200 OK\r\n\r\n": false,
		"HTTP/1.01 200 OK\r\n":    false,
		"\r\nHTTP/1.0 200 OK\r\n": false,
	} {
		for piece := 1; piece <= len(response); piece++ {
			var r recorder
			r.record([]byte("of the response before"))
			r.begin()
			for at := 0; at < len(response); at += piece {
				r.record([]byte(response[at:min(at+piece, len(response))]))
			}
			want := ""
			if recorded {
				want = response
			}
			assert.Equal(t, string(r.end()), want, "pieces of %d", piece)
			r.record([]byte("body"))
			assert.Equal(t, len(r.end()), 0)
		}
	}
}

// TestHeadOfOldResponse checks heads of HTTP/1.0 with the status that net/http has found.
func TestHeadOfOldResponse(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{}":                  true,
		"HTTP/1.0  200\r\nContent-Length: 2\r\n\r\n{}":                    true,
		"HTTP/1.0 200 OK\nContent-Length: 2\n\n{}":                        true,
		"HTTP/1.0 200 OK\r\n\r\n{}":                                       true,
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n":           false,
		"HTTP/1.0 200 OK\r\nTransfer-Encoding:\r\n chunked\r\n\r\n":       false,
		"HTTP/1.0 100 OK\r\n\r\nHTTP/1.0 200 OK\r\nContent-Length: 0\r\n": false,
		"": false,
	} {
		assert.Equal(t, validOldHead([]byte(head), 200), valid, "%q", head)
	}
}
