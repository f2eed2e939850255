package wire

import "net/http"

// Answer is the whole answer of a backend server, kept for repeats of the same
// action.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"` // end-to-end header fields only
	Body   []byte      `json:"body,omitempty"`
}

// hopHeaders are the fields that belong to one connection (RFC 9110, section
// 7.6.1) or that this system writes anew for each answer.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Date",
	HeaderOutcome, HeaderRequestID, HeaderLoad,
}

// EndToEnd returns a copy of h without the fields of one connection.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// Size returns the memory that the answer takes, in bytes, about.
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
