// Package gate is the HTTP listener before a backend server: the only way a
// request reaches it. It checks the sender, makes the artifact resident,
// starts an action at most once, and streams the answer back.
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
	retryElsewhere  = time.Second
)

// Memory makes artifacts resident.
type Memory interface {
	// Acquire returns when the artifact and its base model are resident and
	// keeps them so until release is called.
	Acquire(ctx context.Context, artifact, base wire.Artifact, bytes int64) (release func(), err error)
	// Refresh asks the engine what it holds, after it has denied an artifact.
	Refresh()
}

// Actions start non-idempotent actions at most once. serve performs the call
// at the backend server on the given writer.
type Actions interface {
	Run(w http.ResponseWriter, r *http.Request, claim wire.Claim, serve http.HandlerFunc)
}

// Options configure a Gate.
type Options struct {
	Key         string // deployment key
	BackendURL  string
	Incarnation string
	Holder      *config.Holder
	Memory      Memory  // nil before plain services
	Actions     Actions // nil refuses every action
	Log         logrus.FieldLogger
}

// Gate serves requests of entries.
type Gate struct {
	opts     Options
	proxy    *backend
	inFlight atomic.Int64
	draining atomic.Bool
	served   atomic.Int64
	service  atomic.Int64 // smoothed time of a request, ns
	delay    delay
}

// New returns a gate before the backend server.
func New(opts Options) *Gate {
	return &Gate{opts: opts, proxy: newBackend(opts.BackendURL)}
}

// InFlight returns the number of requests in progress.
func (g *Gate) InFlight() int { return int(g.inFlight.Load()) }

// Draining reports whether new work is refused.
func (g *Gate) Draining() bool { return g.draining.Load() }

// Drain refuses new work from now on.
func (g *Gate) Drain() {
	if !g.draining.Swap(true) {
		event.Log(g.opts.Log, event.DrainBegun, event.Count(int64(g.InFlight())))
	}
}

// ServeHTTP answers one request of an entry.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderRequestID, r.Header.Get(wire.HeaderRequestID))
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if f := g.refuse(r); f != nil {
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

// refuse returns why the request is not taken, or nil.
func (g *Gate) refuse(r *http.Request) *wire.Failure {
	got := r.Header.Get(wire.HeaderDeployment)
	if subtle.ConstantTimeCompare([]byte(got), []byte(g.opts.Key)) != 1 {
		event.Log(g.opts.Log, event.GateRefused, event.Peer(r.RemoteAddr))
		return wire.NewFailure(http.StatusUnauthorized, wire.OutcomeNotRun, codeNoKey, "the deployment key is missing or wrong")
	}
	if g.draining.Load() {
		return wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeDraining, "the backend server is leaving").After(retryElsewhere)
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

// acquire makes what the request needs resident.
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
		return nil, wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeNoConfig, "no configuration is in force yet").After(retryElsewhere)
	}
	served, ok := index.Resolve(artifact.Name)
	if !ok {
		return nil, wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeNotResident, "%s is not declared here yet", artifact).After(retryElsewhere)
	}
	base := served.Base
	if artifact.Kind == wire.KindModel {
		base = artifact
	}
	release, err := g.opts.Memory.Acquire(r.Context(), artifact, base, served.Bytes)
	if err != nil {
		return nil, wire.NewFailure(http.StatusServiceUnavailable, wire.OutcomeNotRun, codeNotResident, "%s cannot be made resident: %s", artifact, fault.KindOf(err)).After(retryElsewhere)
	}
	return release, nil
}

// run performs the request, an action by way of the register.
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
		wire.NewFailure(http.StatusNotImplemented, wire.OutcomeNotRun, codeBackend, "this side process takes no actions").Write(w)
		return
	}
	g.opts.Actions.Run(w, r, claim, g.serve)
}

// serve performs the call at the backend server.
func (g *Gate) serve(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	g.proxy.serve(w, r, g)
	g.observe(time.Since(began))
}

// smoothing is the weight of the newest request in the smoothed service time.
const smoothing = 8

func (g *Gate) observe(took time.Duration) {
	old := g.service.Load()
	g.service.Store(old + (int64(took)-old)/smoothing)
	g.served.Add(1)
}

func (g *Gate) load() wire.Load {
	return wire.Load{InFlight: g.InFlight(), QueueDelay: g.QueueDelay(), Incarnation: g.opts.Incarnation}
}

// QueueDelay returns the expected wait of a new request.
func (g *Gate) QueueDelay() time.Duration { return g.delay.expected() }

func (g *Gate) sent() { g.delay.begin(time.Now()) }

func (g *Gate) answered(ok bool) { g.delay.end(ok, time.Now()) }

func (g *Gate) denied(r *http.Request) bool {
	if g.opts.Memory == nil || r.Header.Get(wire.HeaderArtifact) == "" {
		return false
	}
	g.opts.Memory.Refresh()
	return true
}

// Dump is the gate's section of the state dump.
type Dump struct {
	InFlight   int           `json:"in_flight"`
	Served     int64         `json:"served"`
	Draining   bool          `json:"draining"`
	MeanServed time.Duration `json:"smoothed_service_ns"`
}

// DumpState returns the gate's section of the state dump.
func (g *Gate) DumpState() any {
	return Dump{InFlight: g.InFlight(), Served: g.served.Load(), Draining: g.Draining(), MeanServed: time.Duration(g.service.Load())}
}
