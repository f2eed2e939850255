// Package gate is the HTTP proxy in front of a backend server, through which all
// requests pass. It authenticates the entry, loads the artifact if necessary, starts
// an action at most once, and streams the response back.
package gate

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
)

const (
	codeDraining    = "draining"
	codeNoKey       = "deployment_key_required"
	codeBadHeader   = "invalid_header"
	codeNotResident = "not_resident"
	codeBackend     = "backend_unreachable"
	codeNoConfig    = "not_ready"
	codeBody        = "body_unreadable"
	retryAfter      = time.Second
)

// Memory loads artifacts into the engine.
type Memory interface {
	// Acquire loads the artifact and its base model if necessary and prevents
	// their unloading until release is called.
	Acquire(ctx context.Context, artifact, base wire.Artifact, bytes int64) (release func(), err error)
	// Refresh requests the engine's inventory, after it answered that an
	// artifact is not found.
	Refresh()
}

// Actions starts non-idempotent actions at most once. serve sends the request to
// the backend server and writes the response.
type Actions interface {
	Run(w http.ResponseWriter, r *http.Request, claim wire.Claim, serve http.HandlerFunc)
}

// Options configure a Gate.
type Options struct {
	Key         string // deployment key
	BackendURL  string
	Incarnation string
	Holder      *config.Holder
	Memory      Memory  // nil for plain services
	Actions     Actions // nil rejects every action
	Log         logrus.FieldLogger
}

// Gate is the HTTP handler for requests of entries.
type Gate struct {
	opts            Options
	backend         *backend
	inFlight        atomic.Int64
	draining        atomic.Bool
	served          atomic.Int64
	smoothedService atomic.Int64 // moving average of the time of a request, ns
	delay           delayEstimator
}

// New returns a Gate for the backend server at opts.BackendURL.
func New(opts Options) *Gate {
	return &Gate{opts: opts, backend: newBackend(opts.BackendURL)}
}

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

// Draining reports whether new requests are rejected.
func (g *Gate) Draining() bool { return g.draining.Load() }

// Drain makes the gate reject new requests from now on.
func (g *Gate) Drain() {
	if !g.draining.Swap(true) {
		event.Log(g.opts.Log, event.DrainStarted, event.Count(int64(g.InFlight())))
	}
}

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if f := g.rejection(r); f != nil {
		f.Write(w)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	r = r.WithContext(ctx)
	release, f := g.acquire(r)
	if f != nil {
		f.Write(w)
		return
	}
	defer release()
	g.run(w, r)
}

// rejection returns the failure to respond with if the request is not admitted, or nil.
func (g *Gate) rejection(r *http.Request) *wire.Failure {
	got := r.Header.Get(wire.HeaderDeployment)
	if subtle.ConstantTimeCompare([]byte(got), []byte(g.opts.Key)) != 1 {
		event.Log(g.opts.Log, event.GateRefused, event.Peer(r.RemoteAddr))
		return wire.NewFailure(http.StatusUnauthorized, wire.OutcomeNotRun, codeNoKey, "the deployment key is missing or wrong")
	}
	if g.draining.Load() {
		return wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeDraining, "the backend server is draining").WithRetryAfter(retryAfter)
	}
	return nil
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// acquire loads the artifacts that the request needs. The returned function
// releases them.
func (g *Gate) acquire(r *http.Request) (func(), *wire.Failure) {
	name := r.Header.Get(wire.HeaderArtifact)
	if name == "" || g.opts.Memory == nil {
		return func() {}, nil
	}
	artifact, err := wire.ParseArtifact(name)
	if err != nil {
		return nil, wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeBadHeader, "%v", err)
	}
	index := g.opts.Holder.Current()
	if index == nil {
		return nil, wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeNoConfig, "no configuration is active yet").WithRetryAfter(retryAfter)
	}
	resolved, ok := index.Resolve(artifact.Name)
	if !ok {
		return nil, wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeNotResident, "%s is not in the active configuration yet", artifact).WithRetryAfter(retryAfter)
	}
	base := resolved.Base
	if artifact.Kind == wire.KindModel {
		base = artifact
	}
	release, err := g.opts.Memory.Acquire(r.Context(), artifact, base, resolved.Bytes)
	if err != nil {
		return nil, wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeNotResident, "%s cannot be loaded: %s", artifact, fault.KindOf(err)).WithRetryAfter(retryAfter)
	}
	return release, nil
}

// run serves the request. Requests with a claim are actions and go through
// Options.Actions.
func (g *Gate) run(w http.ResponseWriter, r *http.Request) {
	header := r.Header.Get(wire.HeaderClaim)
	if header == "" {
		g.serve(w, r)
		return
	}
	claim, err := wire.ParseClaim(header)
	if err != nil {
		wire.NewFailure(http.StatusBadRequest, wire.OutcomeNotRun, codeBadHeader, "%v", err).Write(w)
		return
	}
	if g.opts.Actions == nil {
		wire.NewFailure(http.StatusNotImplemented, wire.OutcomeNotRun, codeBackend, "this side process does not support actions").Write(w)
		return
	}
	g.opts.Actions.Run(w, r, claim, g.serve)
}

// serve sends the request to the backend server and records its duration.
func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	g.backend.serve(w, r, g)
	g.observe(time.Since(began))
}

// smoothingDivisor is the inverse weight of a new sample in the exponential moving
// averages of this package.
const smoothingDivisor = 8

func (g *Gate) observe(elapsed time.Duration) {
	old := g.smoothedService.Load()
	g.smoothedService.Store(old + (int64(elapsed)-old)/smoothingDivisor)
	g.served.Add(1)
}

func (g *Gate) load() wire.Load {
	return wire.Load{InFlight: g.InFlight(), QueueDelay: g.QueueDelay(), Incarnation: g.opts.Incarnation}
}

// QueueDelay returns the expected wait of a new request for its first response
// byte.
func (g *Gate) QueueDelay() time.Duration { return g.delay.expected() }

func (g *Gate) requestSent() { g.delay.begin(time.Now()) }

func (g *Gate) responseStarted(ok bool) { g.delay.end(ok, time.Now()) }

func (g *Gate) notFound(r *http.Request) bool {
	if g.opts.Memory == nil || r.Header.Get(wire.HeaderArtifact) == "" {
		return false
	}
	g.opts.Memory.Refresh()
	return true
}

// Dump is the gate's section of the state dump.
type Dump struct {
	InFlight        int           `json:"in_flight"`
	Served          int64         `json:"served"`
	Draining        bool          `json:"draining"`
	SmoothedService time.Duration `json:"smoothed_service_ns"`
}

// DumpState returns the gate's section of the state dump.
func (g *Gate) DumpState() any {
	return Dump{InFlight: g.InFlight(), Served: g.served.Load(), Draining: g.Draining(), SmoothedService: time.Duration(g.smoothedService.Load())}
}
