package exchange

import (
	"net/http"
	"slices"
	"sync"
)

// A server may write an answer once more, late, in place of the answer to a later request on
// its connection. An answer names a client attempt, if it names anything, and not one sending
// of it. So an answer is taken for that of a sending only if no other sending on the connection
// can have caused it:
//
//   - One that names an attempt must name that of the sending, and no connection carries
//     an attempt twice.
//   - One that names none must be the first on its connection.

// Sendings are the connections on which one client attempt has been sent. The zero value has
// none. It is safe for concurrent use.
type Sendings struct {
	mu    sync.Mutex
	conns []*conn
}

// add adds the connection and returns true, or returns false if it was added before.
func (s *Sendings) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Contains(s.conns, c) {
		return false
	}
	s.conns = append(s.conns, c)
	return true
}

// mismatch returns why a response cannot belong to the call, or is not known to, or "" if it
// does.
func mismatch(call *Call, r *Response) string {
	switch {
	case r.Outcome.ID != "" && r.Outcome.ID != call.ID:
		return "the response is for request " + r.Outcome.ID
	case r.Outcome.ID == "" && !r.first():
		return "the response names no request, on a connection that has carried others"
	case r.Outcome.NotRun:
		return ""
	case r.Status == http.StatusSwitchingProtocols:
		return "unrequested switch of protocols"
	case r.Status < 300 && (!r.Outcome.FromServer || r.Outcome.ID == ""):
		return "successful response without a signature"
	case r.Header.Get("Content-Encoding") != "":
		return "response with an unrequested Content-Encoding"
	}
	return ""
}

// first reports whether the response is known to be the first on its connection.
func (r *Response) first() bool { return r.conn != nil && r.conn.requests.Load() == 1 }
