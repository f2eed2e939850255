package httpstrict

import (
	"strings"
	"sync"
)

// oldVersion is how the status line of a response of HTTP/1.0 begins.
const oldVersion = "HTTP/1.0 "

// recorder records the start of a response, for what net/http does not show of it. It keeps
// nothing of a response whose version is not HTTP/1.0.
type recorder struct {
	mu        sync.Mutex
	recording bool
	start     []byte
}

// begin starts to record a response.
func (r *recorder) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recording, r.start = true, nil
}

// record adds bytes of the response.
func (r *recorder) record(p []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.recording {
		return
	}
	if len(r.start) >= len(oldVersion) || mayBeOld(r.start, p) {
		r.start = append(r.start, p...)
		return
	}
	r.recording, r.start = false, nil
}

// end stops recording and returns what has been recorded.
func (r *recorder) end() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := r.start
	r.recording, r.start = false, nil
	return start
}

// mayBeOld reports whether a response that begins with start and goes on with p may begin with
// oldVersion.
func mayBeOld(start, p []byte) bool {
	rest := oldVersion[len(start):]
	n := min(len(p), len(rest))
	return strings.HasPrefix(rest, string(p[:n]))
}
