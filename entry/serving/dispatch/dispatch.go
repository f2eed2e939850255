// Package dispatch carries one request to a backend server: it chooses the
// server, retries idempotent work elsewhere, and relays the answer.
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
