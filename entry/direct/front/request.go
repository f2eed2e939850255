package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/membudget"
	"peridotchute.example/fleet"
)

// request is a client's request including its complete body.
type request struct {
	fleet.Request
	parts   []uint64 // IDs of the prompt's parts
	method  string
	host    string
	target  string // path and query as sent by the client
	body    []byte
	memory  membudget.Account // of body
	arrived time.Time
	route   *fleet.Route
	service string

	identified bool           // the configuration has accounts
	account    *fleet.Account // nil if the request has none
	charge     *charge        // to the account's quota; nil if there is none

	digestOnce  sync.Once
	digestValue uint64
}

// resumesStream reports whether the client resumes a stream of which an earlier
// request brought events.
func (q *request) resumesStream() bool {
	return q.route.RetryPolicy == fleet.RetryResume && (q.Resumes != "" || q.LastEventID != "")
}

// read checks a request against the limits and reads its body. It returns a
// refusal for an invalid or too large request.
func (f *Front) read(w http.ResponseWriter, r *http.Request, route *fleet.Route, arrived time.Time, config *fleet.Config) (*request, *refusal) {
	limits := config.Limits
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: decisionlog.RefusedTooLarge, detail: "header"}
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: decisionlog.RefusedTooLarge, detail: "body"}
	}
	parsed, err := f.opts.Codec.Request(r.Header)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: decisionlog.RefusedBadRequest, detail: err.Error()}
	}
	account, refused := identify(&parsed, route, config.Accounts)
	if refused != nil {
		return nil, refused
	}
	req := &request{
		Request: parsed,
		parts:   parsed.PartIDs(),
		method:  r.Method,
		host:    r.Host,
		target:  originForm(r.RequestURI),
		arrived: arrived,
		route:   route,
		service: serviceOf(route, parsed.ID),

		identified: config.Accounts != nil,
		account:    account,
	}
	if refused := f.readBody(w, r, req, limits); refused != nil {
		return nil, refused
	}
	return req, nil
}

// readBody reads the body of a request. If it is still incomplete when no new request is
// accepted any more, and the request may end too late, the client is told so at once.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, req *request, limits fleet.Limits) *refusal {
	tooLate := func() bool { return !f.mayBegin(req, false) }
	inTime := context.AfterFunc(f.intakeCtx, func() {
		if tooLate() {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // fails only on a closed connection
		}
	})
	req.memory = f.opts.Memory.RequestBody()
	body, err := readBody(w, r, limits.BodyBytes, &req.memory)
	if !inTime() && tooLate() {
		refused := stoppingRefusal()
		refused.detail = "its body is late"
		req.memory.Release()
		return &refused
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: decisionlog.RefusedTooLarge, detail: "body"}
	}
	var short *membudget.ShortError
	if errors.As(err, &short) {
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return &refusal{status: http.StatusServiceUnavailable, retryAfter: memoryRetryAfter, reason: decisionlog.RefusedMemory, detail: short.Error()}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: decisionlog.RefusedBadRequest, detail: "body: " + err.Error()}
	}
	req.body = body
	return nil
}

// mayBegin reports whether a request may be sent to a server now, which a planned stop limits.
// repeated says that a server has been sent it before.
func (f *Front) mayBegin(req *request, repeated bool) bool {
	s := f.stop.Load()
	if s == nil {
		return true
	}
	return s.mayBegin(time.Now(), sending{deadline: req.deadline(), kind: f.durations.of(req.route.Name), repeated: repeated})
}

// memoryRetryAfter is the Retry-After of a request for whose body there is no memory: long
// bodies arrive and are passed on within seconds.
const memoryRetryAfter = time.Second

func readBody(w http.ResponseWriter, r *http.Request, limit int64, memory *membudget.Account) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	source := io.Reader(r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(w, r.Body, limit)
	}
	if r.ContentLength > 0 && r.ContentLength <= membudget.FreeBytes {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(source, body)
		return body, err
	}
	return membudget.ReadAll(source, max(r.ContentLength, 0), memory)
}

// headerBytes returns the approximate size of the request line and header on
// the wire.
func headerBytes(r *http.Request) int {
	const separators = 4 // colon, space, carriage return, line feed
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators
	n += len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// hostOf returns the host without its port, in lower case.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// originForm returns the path and query of a request target, which may be an
// absolute URL.
func originForm(target string) string {
	for _, scheme := range []string{"http://", "https://"} {
		if rest, ok := strings.CutPrefix(target, scheme); ok {
			if slash := strings.IndexByte(rest, '/'); slash >= 0 {
				return rest[slash:]
			}
			return "/"
		}
	}
	return target
}

func pathOf(target string) string {
	path, _, _ := strings.Cut(originForm(target), "?")
	return path
}
