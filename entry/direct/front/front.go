// Package front takes clients' requests at an entry that calls backend servers
// directly, and answers each from a backend server or refuses it.
package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/fleet"
)

const (
	// unknownRetry is told while no configuration is known: entries learn it
	// within a few round trips of their start.
	unknownRetry = 300 * time.Millisecond

	// LastStart is how long after Stop requests are still begun. New connections
	// arrive for two seconds and a little more: the platform looks whether an entry
	// is ready once a second, and believes the second answer.
	LastStart = 2800 * time.Millisecond
	stopRetry = 50 * time.Millisecond // told afterwards: another entry takes the request

	// defaultDeadline applies to requests without one on routes without timeout.
	defaultDeadline = time.Minute
)

// Views gives the view of the deployment.
type Views interface {
	Current() *fleet.View
}

// Options configure a Front.
type Options struct {
	Codec     fleet.Codec
	Views     Views
	Exchanger *exchange.Exchanger
	Balancer  *balance.Balancer
	Log       *decisionlog.Log
}

// Front answers requests. It is an http.Handler.
type Front struct {
	opts     Options
	stopping atomic.Int64 // when Stop was called, in nanoseconds since start; 0 before
	cutting  atomic.Bool  // Cut was called
	active   atomic.Int64
	progress *progress
	waits    context.Context // ends some time after Stop, when requests wait no longer
	endWaits context.CancelFunc
}

// New returns a front.
func New(opts Options) *Front {
	f := &Front{opts: opts, progress: newProgress()}
	f.waits, f.endWaits = context.WithCancel(context.Background())
	return f
}

// Stop makes every answer from now on the last one of its connection.
func (f *Front) Stop() {
	f.stopping.Store(int64(time.Since(start)))
	time.AfterFunc(LastStart, f.endWaits)
}

// Cut says that the connections of all requests in progress are closed now.
func (f *Front) Cut() { f.cutting.Store(true) }

// start is the origin of stopping.
var start = time.Now()

// markLast makes an answer the last one of its connection once Stop was called.
// It is called before the header is written.
func (f *Front) markLast(w http.ResponseWriter) {
	if f.lateness() > 0 {
		w.Header().Set("Connection", "close")
	}
}

// lateness returns how long ago Stop was called, or 0 before.
func (f *Front) lateness() time.Duration {
	at := f.stopping.Load()
	if at == 0 {
		return 0
	}
	return time.Since(start) - time.Duration(at)
}

// Active returns the number of requests in progress.
func (f *Front) Active() int64 { return f.active.Load() }

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	arrived := time.Now()
	late := f.lateness()
	if late > 0 {
		w.Header().Set("Connection", "close")
	}
	if hidesLength(r) {
		// Chunks and a length frame the same request: whatever follows on the
		// connection may be hidden in its body, so nothing more is read.
		w.Header().Set("Connection", "close")
	}
	if late > LastStart {
		f.refuse(w, r, refusal{status: http.StatusServiceUnavailable, after: stopRetry, reason: decisionlog.RefusedStopping})
		return
	}
	view := f.opts.Views.Current()
	if view.Config == nil {
		f.refuse(w, r, refusal{status: http.StatusServiceUnavailable, after: unknownRetry, reason: decisionlog.RefusedNoConfig})
		return
	}
	route := view.Config.Match(hostOf(r.Host), pathOf(r.RequestURI))
	if route == nil {
		f.refuse(w, r, refusal{status: http.StatusNotFound, reason: decisionlog.RefusedNoRoute})
		return
	}
	req, refused := f.read(w, r, view.Config.Limits)
	if refused != nil {
		f.refuse(w, r, *refused)
		return
	}
	req.arrived, req.route = arrived, route
	req.service = serviceOf(route, req.ID)
	f.serve(w, r, req, view)
}

// request is a client's request that was read whole.
type request struct {
	fleet.Request
	body    []byte
	target  string // path and query as the client sent them
	arrived time.Time
	route   *fleet.Route
	service string
}

// read checks a request against the limits and reads its body.
func (f *Front) read(w http.ResponseWriter, r *http.Request, limits fleet.Limits) (*request, *refusal) {
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
	body, err := readBody(w, r, limits.BodyBytes)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: decisionlog.RefusedTooLarge, detail: "body"}
	}
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: decisionlog.RefusedBadRequest, detail: "body: " + err.Error()}
	}
	return &request{Request: parsed, body: body, target: originForm(r.RequestURI)}, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	source := io.Reader(r.Body)
	if limit > 0 {
		source = http.MaxBytesReader(w, r.Body, limit)
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(source, body)
		return body, err
	}
	return io.ReadAll(source)
}

// headerBytes is the size of the request line and the header on the wire.
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

// serviceOf chooses among a route's services by weight. Equal ids go to equal
// services on every entry.
func serviceOf(route *fleet.Route, id string) string {
	total := 0
	for _, t := range route.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return route.Targets[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(total))
	for _, t := range route.Targets {
		if n -= max(t.Weight, 0); n < 0 {
			return t.Service
		}
	}
	return route.Targets[0].Service
}

// refusal is an answer of our own: the request has not run.
type refusal struct {
	status int
	after  time.Duration // until trying again makes sense; 0 when it never does
	reason decisionlog.RefusalReason
	detail string

	expected time.Duration // the wait that decided it; 0 when none was known
	waiting  int           // requests that wait for the same service here
	holders  int           // servers that hold what is asked for
}

func (f *Front) refuse(w http.ResponseWriter, r *http.Request, why refusal) {
	parsed, _ := f.opts.Codec.Request(r.Header) // only its ID is used, which may be missing
	f.opts.Log.Trace(parsed.ID).End(decisionlog.Refused{
		Reason:     why.reason,
		Detail:     why.detail,
		Status:     why.status,
		RetryAfter: why.after,
		Model:      parsed.Model,
		Adapter:    parsed.Adapter,
	})
	f.opts.Codec.Refuse(w.Header(), parsed.ID, why.after)
	w.Header().Set("Content-Length", strconv.Itoa(0))
	w.WriteHeader(why.status)
}
