// Package dispatch sends requests to backend servers: it chooses a server,
// retries failed attempts at other servers, and relays the response.
package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/engine"
	"peridotchute.example/entry/serving/forward"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/routing"
)

const (
	maxAttempts           = 3
	retryAfterUnavailable = time.Second // sent as Retry-After unless the server sent one
	codeNoServer          = "no_server"
	codeUpstream          = "upstream_failed"
	codeDeadline          = "deadline_exceeded"
	minAttemptTime        = 5 * time.Millisecond // an attempt is not started if less time is left to the deadline
	headerAcceptValue     = "*/*"
)

// Request is a caller's request to be dispatched to a backend server.
type Request struct {
	ID          string
	Team        string
	Priority    int
	Pool        string
	Resolved    *config.ResolvedModel // nil for plain services
	Method      string
	Path        string // path and query at the backend server
	Type        string // content type of Body
	Body        []byte
	Prompt      []byte // part of Body to which the engine's prefix cache applies
	Stream      bool
	Idempotent  bool
	Deadline    time.Time
	Key         string // idempotency key that the caller sent with an action or asynchronous request; may be empty
	LastEventID string // the caller resumes a stream after this event; empty otherwise
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

// Dispatcher sends requests to backend servers. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
	mu      sync.Mutex
	rnd     *rand.Rand
	chooser *routing.Chooser
	budget  *budget
}

// New returns a dispatcher. opts.Seed seeds its random choices.
func New(opts Options) *Dispatcher {
	return &Dispatcher{opts: opts, rnd: rand.New(rand.NewPCG(opts.Seed, opts.Seed)), chooser: routing.NewChooser(opts.Policy), budget: newBudget()}
}

// Serve sends the request to a backend server and writes the response to w. If it
// returns a failure, it has not written a response and the caller must write one. It
// panics with http.ErrAbortHandler if a started stream cannot be completed.
func (d *Dispatcher) Serve(ctx context.Context, w http.ResponseWriter, req Request) *wire.Failure {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	run := &run{d: d, req: req, relay: forward.NewRelay(w), w: w}
	d.budget.addRequest()
	for range maxAttempts {
		if !run.attempt(ctx) {
			break
		}
	}
	return run.result()
}

// Choose returns the server for the next attempt and avoids the server named
// exclude. The error is routing.ErrNoServer if there is none.
func (d *Dispatcher) Choose(req Request, exclude string) (*pool.Server, error) {
	var prefixes []uint64
	if req.Resolved != nil {
		prefixes = engine.Prefixes(req.Resolved.Artifact.String(), req.Prompt)
	}
	candidates := d.opts.Pool.Candidates(req.Pool, req.Resolved, prefixes)
	want := d.routingRequest(req, prefixes, exclude)
	d.mu.Lock()
	choice, err := d.chooser.Choose(candidates, want, time.Now(), d.rnd)
	d.mu.Unlock()
	if err != nil {
		return nil, err
	}
	server, ok := d.opts.Pool.Server(choice.Server.Name)
	if !ok {
		return nil, routing.ErrNoServer
	}
	d.opts.Pool.RecordPrefixes(choice.Server.Name, prefixes)
	return server, nil
}

// costs returns the configured routing costs, with the cost of a move scaled by
// the ratio of the policy's move and attainment weights.
func (d *Dispatcher) costs() *routing.Costs {
	c := d.opts.Costs
	policy := d.opts.Pool.Policy()
	if policy.AttainmentWeight > 0 && policy.MoveWeight > 0 {
		c.Move = time.Duration(float64(c.Move) * policy.MoveWeight / policy.AttainmentWeight)
	}
	return &c
}

// routingRequest returns the request as routing needs it.
func (d *Dispatcher) routingRequest(req Request, prefixes []uint64, exclude string) routing.Request {
	r := routing.Request{
		Region:      d.opts.Region,
		Zone:        d.opts.Zone,
		PromptBytes: len(req.Prompt),
		Deadline:    time.Until(req.Deadline),
		Exclude:     exclude,
		Costs:       d.costs(),
	}
	if req.Resolved != nil {
		r.Bytes = req.Resolved.Bytes
		r.Adapter = req.Resolved.Artifact != req.Resolved.Base
	}
	if len(prefixes) > 0 {
		r.Affinity = prefixes[0]
	}
	return r
}
