package job

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/ring"
	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/entry/serving/answer"
	"peridotchute.example/entry/serving/dispatch"
	"peridotchute.example/store"
)

const (
	workerCount    = 8
	queueSize      = 1024             // jobs waiting at this entry; a later scan finds the others
	leaseDuration  = 15 * time.Second // after which an unchanged row of a running job may be taken over
	renewInterval  = 4 * time.Second
	attemptTimeout = 10 * time.Minute
	scanInterval   = 5 * time.Second
	scanPageSize   = 100
	expiryMargin   = time.Minute // tolerated clock difference between two entries
	maxRetryDelay  = 30 * time.Second
)

// Backend serves a request on w, or returns the failure to be written.
type Backend interface {
	Serve(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure
}

// Options configures a Server.
type Options struct {
	Entry       string // name of this entry
	Table       store.Table
	Answers     *answer.Store
	Holder      *config.Holder
	Backend     Backend                                                             // runs idempotent requests
	Actions     Backend                                                             // runs non-idempotent requests
	ShardFilter func(ctx context.Context, scans int) (owns func(shard string) bool) // selects the shards that this entry scans, by the number of previous scans
	Log         logrus.FieldLogger
}

// Server accepts jobs and runs them in the background.
type Server struct {
	opts  Options
	queue *ring.Ring[ref]

	mu      sync.Mutex
	pending map[string]bool // row keys queued or running here
}

// ref identifies a job.
type ref struct {
	team, id string
}

// New returns a server. Jobs are processed while Run is running.
func New(opts Options) *Server {
	return &Server{opts: opts, queue: ring.New[ref](queueSize, ring.Reject), pending: map[string]bool{}}
}

// enqueue queues a job unless it is already queued or running at this entry.
func (s *Server) enqueue(team, id string) {
	key := rowKey(team, id)
	s.mu.Lock()
	exists := s.pending[key]
	s.pending[key] = true
	s.mu.Unlock()
	if exists {
		return
	}
	if !s.queue.Offer(ref{team: team, id: id}) {
		s.removePending(key)
	}
}

func (s *Server) removePending(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, key)
}

// Run runs jobs until ctx ends. It returns after the attempts in progress.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range workerCount {
		wg.Go(func() { s.runWorker(ctx) })
	}
	newScanner(s).run(ctx)
	wg.Wait()
}

func (s *Server) runWorker(ctx context.Context) {
	for {
		r, err := s.queue.Take(ctx)
		if err != nil {
			return
		}
		s.run(ctx, r)
		s.removePending(rowKey(r.team, r.id))
	}
}

// run acquires the job's lease, makes one attempt and writes the result. After a
// failure the job returns to StateAccepted, and a later scan queues it. An
// attempt in progress continues after processCtx ends.
func (s *Server) run(processCtx context.Context, r ref) {
	ctx := context.WithoutCancel(processCtx)
	l, ok := s.acquireLease(ctx, r)
	if !ok {
		return
	}
	stop := l.startRenewal(ctx)
	answer, f := s.attempt(ctx, l.record())
	stop()
	l.finish(processCtx, answer, f)
}

// acquireLease records this entry as the lease holder in the job's row.
func (s *Server) acquireLease(ctx context.Context, r ref) (*lease, bool) {
	rec, row, err := s.read(ctx, r.team, r.id)
	if err != nil || rec.ended() {
		return nil, false
	}
	if rec.State == StateRunning {
		event.Log(s.opts.Log, event.JobTaken, event.Subject(rec.ID), event.Peer(rec.Holder))
	}
	l := &lease{server: s, rec: rec, version: row.Version}
	return l, l.write(ctx, func(rec *Record) {
		rec.State = StateRunning
		rec.Holder = s.opts.Entry
		rec.Tries++
	}) == nil
}

// attempt runs the job's request once.
func (s *Server) attempt(ctx context.Context, rec Record) (*wire.Answer, *wire.Failure) {
	req := dispatch.Request{
		ID:         uuid.Must(uuid.NewV7()).String(),
		Key:        "job-" + rec.ID,
		Team:       rec.Team,
		Priority:   rec.Request.Priority,
		Pool:       rec.Request.Pool,
		Method:     rec.Request.Method,
		Path:       rec.Request.Path,
		Type:       rec.Request.Type,
		Body:       rec.Request.Body,
		Prompt:     rec.Request.Prompt,
		Stream:     rec.Request.Stream,
		Idempotent: rec.Request.Idempotent,
		Deadline:   time.Now().Add(attemptTimeout),
	}
	if rec.Request.Model != "" {
		resolved, ok := s.opts.Holder.Current().Resolve(rec.Request.Model)
		if !ok {
			return nil, wire.NewFailure(http.StatusNotFound, wire.OutcomeNotRun, "model_not_found", "the model %q is no longer declared", rec.Request.Model)
		}
		req.Resolved = &resolved
	}
	if req.Idempotent {
		return serveRecorded(ctx, s.opts.Backend, req)
	}
	return serveRecorded(ctx, s.opts.Actions, req)
}
