package wire

import "net/http"

// Answer is a complete response of a backend server, stored so that it can be
// returned again for a repeated action.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"` // end-to-end header fields only
	Body   []byte      `json:"body,omitempty"`
}

// hopByHopHeaders are the header fields of a single connection (RFC 9110, section
// 7.6.1) and those that this system sets on each response.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Date",
	HeaderOutcome, HeaderRequestID, HeaderLoad,
}

// EndToEnd returns a copy of h without hopByHopHeaders.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// Size returns the approximate memory use of the response in bytes.
func (a *Answer) Size() int64 {
	if a == nil {
		return 0
	}
	n := int64(len(a.Body))
	for name, values := range a.Header {
		n += int64(len(name))
		for _, v := range values {
			n += int64(len(v))
		}
	}
	return n
}
