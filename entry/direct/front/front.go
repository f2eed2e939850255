// Package front is the HTTP handler for client requests in an entry that calls
// backend servers directly. It forwards each request to a backend server or
// refuses it.
package front

import (
	"context"
	"fmt"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/entry/direct/origins"
	"peridotchute.example/fleet"
)

const (
	// noConfigRetryAfter is the Retry-After while no configuration is known:
	// entries receive it within a few round trips after their start.
	noConfigRetryAfter = 300 * time.Millisecond

	// AcceptAfterStop is how long after Stop new requests are still accepted.
	// Connections arrive for slightly more than 2 s: the platform checks once a
	// second whether an entry is ready and acts on the second negative result.
	AcceptAfterStop = 2800 * time.Millisecond
	stopRetryAfter  = 50 * time.Millisecond // Retry-After of later requests, which another entry accepts

	// defaultDeadline applies to requests without a deadline on routes without
	// a timeout.
	defaultDeadline = time.Minute
)

// Views keeps the current view of the deployment.
type Views interface {
	Current() *fleet.View
	// ServerLeaves records that an answer says that its server leaves. source names the
	// answer in the log.
	ServerLeaves(s fleet.Incarnation, source string)
}

// Origins knows which software version of a service began each resumable stream.
type Origins interface {
	Began(service, id, software string)
	Find(ctx context.Context, service, id string) origins.Finding
}

// Options configures a Front.
type Options struct {
	Codec     fleet.Codec
	Views     Views
	Exchanger *exchange.Exchanger
	Balancer  *balance.Balancer
	Origins   Origins
	Guard     Guard
	Log       *decisionlog.Log
}

// Front is the http.Handler for client requests.
type Front struct {
	opts           Options
	stopping       atomic.Int64 // when Stop was called, in nanoseconds since start; 0 before
	active         atomic.Int64 // requests in progress, including those that are refused
	activeRequests *activeRequests
	queueCtx       context.Context // canceled AcceptAfterStop after Stop to end the wait of queued requests
	cancelQueued   context.CancelFunc
	abortCtx       context.Context // canceled by Abort
	abort          context.CancelFunc
}

// New returns a Front without requests.
func New(opts Options) *Front {
	f := &Front{opts: opts, activeRequests: newActiveRequests()}
	f.queueCtx, f.cancelQueued = context.WithCancel(context.Background())
	f.abortCtx, f.abort = context.WithCancel(context.Background())
	return f
}

// Stop makes every further answer close its connection. After AcceptAfterStop new and
// queued requests are refused.
func (f *Front) Stop() {
	f.stopping.Store(int64(time.Since(start)))
	time.AfterFunc(AcceptAfterStop, f.cancelQueued)
}

// Abort ends all requests in progress, shortly before the process closes their connections. A
// request of whose answer the client has no byte is answered: with a refusal if no server may
// have run it, and else with a status that does not say so. An answer that has begun is cut, so
// that it does not look complete. Requests that arrive later must not be sent to a server.
func (f *Front) Abort() { f.abort() }

// aborting reports whether Abort was called.
func (f *Front) aborting() bool { return f.abortCtx.Err() != nil }

// start is the reference time of Front.stopping.
var start = time.Now()

// closeAfterStop makes the answer close its connection if Stop was called. It
// must be called before the header is written.
func (f *Front) closeAfterStop(w http.ResponseWriter) {
	if f.sinceStop() > 0 {
		w.Header().Set("Connection", "close")
	}
}

// sinceStop returns the time since Stop was called, or 0 before.
func (f *Front) sinceStop() time.Duration {
	at := f.stopping.Load()
	if at == 0 {
		return 0
	}
	return time.Since(start) - time.Duration(at)
}

// Active returns the number of requests in progress.
func (f *Front) Active() int64 { return f.active.Load() }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	defer f.logPanic(r)
	arrived := time.Now()
	stoppedFor := f.sinceStop()
	if stoppedFor > 0 {
		w.Header().Set("Connection", "close")
	}
	if mayHideLength(r) {
		// With two framings of one request, data after it on the connection may
		// be a smuggled request, so nothing more is read.
		w.Header().Set("Connection", "close")
	}
	if stoppedFor > AcceptAfterStop {
		f.refuse(w, r, refusal{status: http.StatusServiceUnavailable, retryAfter: stopRetryAfter, reason: decisionlog.RefusedStopping})
		return
	}
	view := f.opts.Views.Current()
	if view.Config == nil {
		f.refuse(w, r, refusal{status: http.StatusServiceUnavailable, retryAfter: noConfigRetryAfter, reason: decisionlog.RefusedNoConfig})
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

// logPanic logs a panic of the handler other than http.ErrAbortHandler, and
// closes the client's connection.
func (f *Front) logPanic(r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler {
		parsed, _ := f.opts.Codec.Request(r.Header) // only the ID is used
		f.opts.Log.Trace(parsed.ID).Add(decisionlog.HandlerPanicked{Reason: fmt.Sprintf("%v\n%s", cause, debug.Stack())})
	}
	panic(http.ErrAbortHandler)
}

// serviceOf chooses one of the route's services by weight. Requests with equal
// IDs get the same service on every entry.
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

// refusal is an error answer generated by the entry.
type refusal struct {
	status     int
	retryAfter time.Duration // Retry-After; 0 for none
	reason     decisionlog.RefusalReason
	detail     string
	cause      decisionlog.Cause // on which servers crash, if that is the reason

	expected time.Duration // expected wait that caused the refusal; 0 if unknown
	waiting  int           // requests for the same service queued in this entry
	replicas int           // usable servers that have loaded the model or adapter
}

func (f *Front) refuse(w http.ResponseWriter, r *http.Request, cause refusal) {
	parsed, _ := f.opts.Codec.Request(r.Header) // fields may be missing if the header is invalid
	f.opts.Log.Trace(parsed.ID).End(decisionlog.Refused{
		Reason:     cause.reason,
		Detail:     cause.detail,
		Status:     cause.status,
		RetryAfter: cause.retryAfter,
		Model:      parsed.Model,
		Adapter:    parsed.Adapter,
	})
	f.opts.Codec.Refuse(w.Header(), parsed.ID, cause.retryAfter)
	w.Header().Set("Content-Length", strconv.Itoa(0))
	w.WriteHeader(cause.status)
}
