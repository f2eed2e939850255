// Package dispatch carries one request to a backend server: it chooses the
// server, retries idempotent work elsewhere, and relays the answer.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/engine"
	"peridotchute.example/entry/forward"
	"peridotchute.example/entry/pool"
	"peridotchute.example/routing"
)

const (
	maxAttempts       = 3
	unavailableRetry  = time.Second // told to callers when no server is in reach
	codeNoServer      = "no_server"
	codeUpstream      = "upstream_failed"
	codeDeadline      = "deadline_exceeded"
	minimumLeft       = 5 * time.Millisecond // less than this left is no time for an attempt
	headerAcceptValue = "*/*"
)

// Request is one request of a caller, ready to be sent.
type Request struct {
	ID         string
	Team       string
	Priority   int
	Pool       string
	Served     *config.Served // nil for plain services
	Method     string
	Path       string // at the backend server, with query
	Type       string // content type of Body
	Body       []byte
	Prompt     []byte // part of Body that the engine's prefix cache keeps
	Stream     bool
	Idempotent bool
	Deadline   time.Time
	Key        string // idempotency key of the caller; empty when it sent none
	LastID     string // caller resumes a stream after this event
}

// Options configure a Dispatcher.
type Options struct {
	Pool      *pool.Pool
	Forwarder *forward.Forwarder
	Region    string
	Zone      string
	Seed      uint64
	Policy    routing.Policy
	Costs     routing.Costs
	Log       logrus.FieldLogger
}

// Dispatcher serves requests.
type Dispatcher struct {
	opts   Options
	mu     sync.Mutex
	rnd    *rand.Rand
	pick   *routing.Chooser
	budget *budget
}

// New returns a dispatcher whose random choices follow from Seed.
func New(opts Options) *Dispatcher {
	return &Dispatcher{opts: opts, rnd: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), pick: routing.NewChooser(opts.Policy), budget: newBudget()}
}

// Serve answers the request on w. A failure that it returns has not been
// written; nil means that w holds the answer.
func (d *Dispatcher) Serve(ctx context.Context, w http.ResponseWriter, req Request) *wire.Failure {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{d: d, req: req, relay: forward.NewRelay(w), w: w}
	d.budget.request()
	for range maxAttempts {
		if !run.attempt(ctx) {
			break
		}
	}
	return run.result()
}

// Choose picks the server of the next attempt, avoiding the server named exclude.
func (d *Dispatcher) Choose(req Request, exclude string) (*pool.Server, error) {
	var prefixes []uint64
	if req.Served != nil {
		prefixes = engine.Prefixes(req.Served.Artifact.String(), req.Prompt)
	}
	candidates := d.opts.Pool.Candidates(req.Pool, req.Served, prefixes)
	want := d.wanted(req, prefixes, exclude)
	d.mu.Lock()
	choice, err := d.pick.Choose(candidates, want, time.Now(), d.rnd)
	d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	server, ok := d.opts.Pool.Server(choice.Server.Name)
	if !ok {
		return nil, routing.ErrNoServer
	}
	d.opts.Pool.Remember(choice.Server.Name, prefixes)
	return server, nil
}

// costs returns the costs with the price of a move as the deployment weighs it.
func (d *Dispatcher) costs() *routing.Costs {
	c := d.opts.Costs
	policy := d.opts.Pool.Policy()
	if policy.AttainmentWeight > 0 && policy.MoveWeight > 0 {
		c.Move = time.Duration(float64(c.Move) * policy.MoveWeight / policy.AttainmentWeight)
	}
	return &c
}

// wanted is what routing needs to know of the request.
func (d *Dispatcher) wanted(req Request, prefixes []uint64, exclude string) routing.Request {
	r := routing.Request{
		Region:      d.opts.Region,
		Zone:        d.opts.Zone,
		PromptBytes: len(req.Prompt),
		Deadline:    time.Until(req.Deadline),
		Exclude:     exclude,
		Costs:       d.costs(),
	}
	if req.Served != nil {
		r.Bytes = req.Served.Bytes
		r.Adapter = req.Served.Artifact != req.Served.Base
	}
	if len(prefixes) > 0 {
		r.Affinity = prefixes[0]
	}
	return r
}

// run is one request on its way.
type run struct {
	d       *Dispatcher
	req     Request
	relay   *forward.Relay
	w       http.ResponseWriter
	exclude string
	failure *wire.Failure
	maySent bool // some attempt may have reached a backend server
	served  bool
}

// attempt sends the request once and reports whether another attempt makes sense.
func (r *run) attempt(ctx context.Context) bool {
	if time.Until(r.req.Deadline) < minimumLeft {
		r.fail(http.StatusGatewayTimeout, codeDeadline, "the deadline has passed")
		return false
	}
	server, err := r.d.Choose(r.req, r.exclude)
	if err != nil {
		r.fail(http.StatusServiceUnavailable, codeNoServer, "no backend server of pool %q is in reach", r.req.Pool)
		return false
	}
	end := server.Begin()
	vm := server.VM()
	err = r.exchange(ctx, server, vm.DataAddress)
	end(!serverFault(ctx, err))
	if err == nil {
		r.served = true
		return false
	}
	r.exclude = vm.Name
	return r.judge(ctx, err, vm.Name)
}

// serverFault reports whether a failed attempt speaks against the server: not
// when the caller left or its deadline passed, which under overload every
// server would be blamed for, and not when its side process answered and declined.
func serverFault(ctx context.Context, err error) bool {
	var told *wire.Failure
	return err != nil && ctx.Err() == nil && !fault.Is(err, fault.KindCanceled) && !errors.As(err, &told)
}

// judge records a failed attempt and reports whether to try again.
func (r *run) judge(ctx context.Context, err error, peer string) bool {
	event.Log(r.d.opts.Log, event.AttemptFailed, event.Request(r.req.ID), event.Peer(peer), event.Err(err))
	if !fault.Is(err, fault.KindUnavailable) {
		r.maySent = true
	}
	var told *wire.Failure
	if errors.As(err, &told) {
		r.failure = told
	} else {
		r.fail(http.StatusBadGateway, codeUpstream, "the backend server failed: %s", fault.KindOf(err))
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.fail(http.StatusGatewayTimeout, codeDeadline, "the deadline has passed")
	}
	return ctx.Err() == nil && r.again(err)
}

// again reports whether a failed attempt may be followed by another: not when
// the caller has left or its stream cannot be resumed. A retry of work that a
// server took and did not answer is paid from the budget; refusals cost it
// nothing and resumed streams go on where they were.
func (r *run) again(err error) bool {
	switch {
	case fault.Is(err, fault.KindCanceled):
		return false
	case r.relay.Started():
		return r.relay.Resumable()
	case fault.Is(err, fault.KindUnavailable):
		return true
	}
	return r.d.budget.retry()
}

// exchange performs one attempt at one server.
func (r *run) exchange(ctx context.Context, server *pool.Server, address string) error {
	began := time.Now()
	resp, err := r.d.opts.Forwarder.Send(ctx, address, r.call())
	if err != nil {
		return err
	}
	r.d.opts.Pool.Carry(server, len(r.req.Body), resp)
	defer resp.Body.Close()
	if r.req.Stream && r.req.Served != nil {
		now := time.Now()
		server.FirstToken(now.Sub(began), r.req.Served.Model.Target.FirstToken(), now)
	}
	if load, err := wire.ParseLoad(resp.Header.Get(wire.HeaderLoad)); err == nil {
		server.Observe(load, time.Now())
	}
	if notRun(resp) {
		return r.refused(resp, address)
	}
	if forward.IsStream(resp) {
		return r.stream(resp, address)
	}
	return r.whole(resp, address)
}

// CallOf returns the call that carries the request.
func CallOf(req Request) forward.Call {
	c := forward.Call{
		Method:      req.Method,
		Path:        req.Path,
		ContentType: req.Type,
		Accept:      headerAcceptValue,
		Body:        req.Body,
		RequestID:   req.ID,
		Team:        req.Team,
		Priority:    req.Priority,
		Deadline:    req.Deadline,
		LastEventID: req.LastID,
	}
	if req.Served != nil {
		c.Artifact = req.Served.Artifact
	}
	return c
}

func (r *run) call() forward.Call {
	c := CallOf(r.req)
	if id := r.relay.LastID(); id != "" {
		c.LastEventID = id
	}
	return c
}

// notRun reports whether the side process itself refused the request.
func notRun(resp *http.Response) bool {
	return resp.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun)
}

// refused turns a refusal of the side process into an error after which
// nothing was run there.
func (r *run) refused(resp *http.Response, address string) error {
	answer, err := forward.ReadAnswer(resp, address)
	if err != nil {
		return fault.New(fault.KindUnavailable, "forward.refused", address, err)
	}
	return fault.New(fault.KindUnavailable, "forward.refused", address, FailureOf(answer))
}

func (r *run) whole(resp *http.Response, address string) error {
	answer, err := forward.ReadAnswer(resp, address)
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusInternalServerError && r.req.Idempotent {
		return fault.New(fault.KindUnknown, "forward.answer", address, FailureOf(answer))
	}
	answer.Write(r.w, wire.OutcomeCompleted)
	return nil
}

func (r *run) stream(resp *http.Response, address string) error {
	err := r.relay.Copy(resp.Body)
	switch {
	case err == nil:
		r.relay.Finish(wire.OutcomeCompleted)
		return nil
	case forward.CallerGone(err):
		return fault.New(fault.KindCanceled, "forward.stream", address, err)
	default:
		return fault.New(fault.KindUnknown, "forward.stream", address, err)
	}
}

func (r *run) fail(status int, code, format string, args ...any) {
	r.failure = wire.NewFailure(status, "", code, format, args...).After(unavailableRetry)
}

// result returns the failure to be written, or nil when the caller has its
// answer. A stream that had begun is cut.
func (r *run) result() *wire.Failure {
	if r.served {
		return nil
	}
	if r.relay.Started() {
		event.Log(r.d.opts.Log, event.StreamCut, event.Request(r.req.ID))
		r.relay.Abort()
	}
	r.failure.Outcome = wire.OutcomeNotRun
	if r.maySent {
		r.failure.Outcome = wire.OutcomeUnknown
	}
	return r.failure
}
