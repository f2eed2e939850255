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
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/exchange"
	"peridotchute.example/fleet"
)

const (
	// unknownRetry is told while no configuration is known: entries learn it
	// within a few round trips of their start.
	unknownRetry = 300 * time.Millisecond

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
	Adapters  Adapters
	Log       logrus.FieldLogger
}

// Adapters makes models and adapters resident on request.
type Adapters interface {
	// Ensure asks that some server of the service hold the adapter (or the
	// model, when adapter is empty) and returns that server's ID once it does.
	Ensure(ctx context.Context, service, model, adapter string) (string, error)
}

// Front answers requests. It is an http.Handler.
type Front struct {
	opts     Options
	stopping atomic.Bool
	active   atomic.Int64
}

// New returns a front.
func New(opts Options) *Front { return &Front{opts: opts} }

// Stop makes every answer from now on the last one of its connection.
func (f *Front) Stop() { f.stopping.Store(true) }

// Active returns the number of requests in progress.
func (f *Front) Active() int64 { return f.active.Load() }

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	arrived := time.Now()
	view := f.opts.Views.Current()
	if view.Config == nil {
		f.refuse(w, r, refusal{status: http.StatusServiceUnavailable, after: unknownRetry, reason: "no configuration known"})
		return
	}
	route := view.Config.Match(hostOf(r.Host), pathOf(r.RequestURI))
	if route == nil {
		f.refuse(w, r, refusal{status: http.StatusNotFound, reason: "no route"})
		return
	}
	req, refused := f.read(w, r, view.Config.Limits)
	if refused != nil {
		f.refuse(w, r, *refused)
		return
	}
	req.arrived, req.route = arrived, route
	req.service = serviceOf(route, req.ID)
	f.serve(w, r, req)
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
		return nil, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too long"}
	}
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too long"}
	}
	parsed, err := f.opts.Codec.Request(r.Header)
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	body, err := readBody(w, r, limits.BodyBytes)
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too long"}
	}
	if err != nil {
		return nil, &refusal{status: http.StatusBadRequest, reason: "body: " + err.Error()}
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
	reason string
}

func (f *Front) refuse(w http.ResponseWriter, r *http.Request, why refusal) {
	parsed, _ := f.opts.Codec.Request(r.Header) // only its ID is used, which may be missing
	event.Log(f.opts.Log, event.RequestRefused, event.Request(parsed.ID), event.Reason(why.reason), event.Count(int64(why.status)))
	f.opts.Codec.Refuse(w.Header(), parsed.ID, why.after)
	w.Header().Set("Content-Length", strconv.Itoa(0))
	w.WriteHeader(why.status)
}
