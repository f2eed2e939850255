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
	"peridotchute.example/entry/direct/membudget"
	"peridotchute.example/entry/direct/origins"
	"peridotchute.example/entry/direct/quotas"
	"peridotchute.example/fleet"
)

const (
	// noConfigRetryAfter is the Retry-After while no configuration is known:
	// entries receive it within a few round trips after their start.
	noConfigRetryAfter = 300 * time.Millisecond

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
	Began(service, artifact, id, software string)
	Find(ctx context.Context, service, artifact, id string) origins.Finding
	// AwaitDurable blocks until a stream may bring its first event.
	AwaitDurable(ctx context.Context, service, artifact, id, software string) error
	// Assigned returns the version at which a new stream needs no record.
	Assigned(service, artifact, id string) origins.Assignment
}

// Quotas decides whether client accounts may send requests.
type Quotas interface {
	// Take takes the cost of a request from the account's quota, or refuses it.
	Take(ctx context.Context, account string, cost float64) quotas.Decision
	// Return hands back the cost of a request that did not run.
	Return(account string, cost float64)
}

// Options configures a Front.
type Options struct {
	Codec     fleet.Codec
	Views     Views
	Exchanger *exchange.Exchanger
	Balancer  *balance.Balancer
	Origins   Origins
	Guard     Guard
	Quotas    Quotas
	Log       *decisionlog.Log
	Memory    *membudget.Budget // of buffered requests and answers; nil for no limit
}

// Front is the http.Handler for client requests.
type Front struct {
	opts           Options
	stop           atomic.Pointer[plannedStop] // nil before Stop
	active         atomic.Int64                // requests in progress, including those that are refused
	activeRequests *activeRequests
	durations      *durations
	intakeCtx      context.Context // canceled once new requests are not accepted any more
	closeIntake    context.CancelFunc
	abortCtx       context.Context // canceled by Abort
	abort          context.CancelFunc
}

// New returns a Front without requests.
func New(opts Options) *Front {
	f := &Front{opts: opts, activeRequests: newActiveRequests(), durations: newDurations()}
	f.intakeCtx, f.closeIntake = context.WithCancel(context.Background())
	f.abortCtx, f.abort = context.WithCancel(context.Background())
	return f
}

// Stop makes every further answer close its connection. closesAt is when Abort will be called.
// After AcceptAfterStop new requests are refused, and of those that wait for a server or for
// their body all whose deadline is later than closesAt.
func (f *Front) Stop(closesAt time.Time) {
	s := newPlannedStop(time.Now(), closesAt)
	f.stop.Store(s)
	time.AfterFunc(time.Until(s.acceptUntil), f.closeIntake)
}

// Abort ends all requests in progress, shortly before the process closes their connections. A
// request of whose answer the client has no byte is answered: with a refusal if no server may
// have run it, and else with a status that does not say so. An answer that has begun is cut, so
// that it does not look complete. Requests that arrive later must not be sent to a server.
func (f *Front) Abort() { f.abort() }

// aborting reports whether Abort was called.
func (f *Front) aborting() bool { return f.abortCtx.Err() != nil }

// closeAfterStop makes the answer close its connection if Stop was called. It
// must be called before the header is written.
func (f *Front) closeAfterStop(w http.ResponseWriter) {
	if f.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
}

// sinceStop returns the time since Stop was called, or 0 before.
func (f *Front) sinceStop() time.Duration {
	s := f.stop.Load()
	if s == nil {
		return 0
	}
	return time.Since(s.began)
}

// Active returns the number of requests in progress.
func (f *Front) Active() int64 { return f.active.Load() }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	defer f.logPanic(r)
	arrived := time.Now()
	endHead(r)
	f.closeAfterStop(w)
	if mayHideLength(r) {
		// With two framings of one request, data after it on the connection may
		// be a smuggled request, so nothing more is read.
		w.Header().Set("Connection", "close")
	}
	if !f.stop.Load().accepts(arrived) {
		f.refuse(w, r, stoppingRefusal())
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
	req, refused := f.read(w, r, route, arrived, view.Config)
	if refused != nil {
		f.refuse(w, r, *refused)
		return
	}
	defer req.memory.Release()
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

	account  string        // name of the client account; empty if unknown
	expected time.Duration // expected wait that caused the refusal; 0 if unknown
	waiting  int           // requests for the same service queued in this entry
	replicas int           // usable servers that have loaded the model or adapter
}

// stoppingRefusal is the refusal of a request that another entry accepts.
func stoppingRefusal() refusal {
	return refusal{status: http.StatusServiceUnavailable, retryAfter: stopRetryAfter, reason: decisionlog.RefusedStopping}
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
		Account:    cause.account,
	})
	if cause.reason == decisionlog.RefusedKeyUnknown && r.ContentLength != 0 {
		w.Header().Set("Connection", "close") // its body is not read
	}
	f.opts.Codec.Refuse(w.Header(), parsed.ID, cause.retryAfter)
	w.Header().Set("Content-Length", strconv.Itoa(0))
	w.WriteHeader(cause.status)
}
