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
	workers      = 8
	waiting      = 1024             // jobs waiting at this entry; more are left to the scan
	leaseTime    = 15 * time.Second // a row unchanged for so long has lost its holder
	beatInterval = 4 * time.Second
	tryTimeout   = 10 * time.Minute
	scanInterval = 5 * time.Second
	scanPage     = 100
	expiryMargin = time.Minute // allowed difference of two clocks
	maxPause     = 30 * time.Second
)

// Backend answers a request on w, or returns the failure to be written.
type Backend interface {
	Serve(ctx context.Context, w http.ResponseWriter, req dispatch.Request) *wire.Failure
}

// Options configure a Server.
type Options struct {
	Entry   string // name of this entry
	Table   store.Table
	Answers *answer.Store
	Holder  *config.Holder
	Backend Backend                                                            // idempotent work
	Actions Backend                                                            // non-idempotent work
	Owns    func(ctx context.Context, turn int) (owns func(shard string) bool) // the shards that this entry scans at a turn, from 0
	Log     logrus.FieldLogger
}

// Server accepts and runs jobs.
type Server struct {
	opts  Options
	queue *ring.Ring[ref]

	mu   sync.Mutex
	held map[string]bool // row keys queued or running here
}

// ref names a job.
type ref struct {
	team, id string
}

// New returns a server. Run must be running for jobs to be run.
func New(opts Options) *Server {
	return &Server{opts: opts, queue: ring.New[ref](waiting, ring.Reject), held: map[string]bool{}}
}

// offer queues a job unless this entry has it already.
func (s *Server) offer(team, id string) {
	key := rowKey(team, id)
	s.mu.Lock()
	taken := s.held[key]
	s.held[key] = true
	s.mu.Unlock()
	if taken {
		return
	}
	if !s.queue.Offer(ref{team: team, id: id}) {
		s.drop(key)
	}
}

func (s *Server) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.held, key)
}

// Run runs jobs until ctx ends; a try in progress is finished first.
func (s *Server) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() { s.work(ctx) })
	}
	newScanner(s).run(ctx)
	wg.Wait()
}

func (s *Server) work(ctx context.Context) {
	for {
		r, err := s.queue.Take(ctx)
		if err != nil {
			return
		}
		s.run(ctx, r)
		s.drop(rowKey(r.team, r.id))
	}
}

// run takes the job's lease, tries it once and writes what came of it. A job
// whose try failed is left accepted, for a scan to pick up. A try that has
// begun goes on when the process is asked to stop.
func (s *Server) run(life context.Context, r ref) {
	ctx := context.WithoutCancel(life)
	l, ok := s.take(ctx, r)
	if !ok {
		return
	}
	stop := l.keep(ctx)
	answer, f := s.attempt(ctx, l.record())
	stop()
	l.finish(life, answer, f)
}

// take writes this entry into the row.
func (s *Server) take(ctx context.Context, r ref) (*lease, bool) {
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
		Deadline:   time.Now().Add(tryTimeout),
	}
	if rec.Request.Model != "" {
		served, ok := s.opts.Holder.Current().Resolve(rec.Request.Model)
		if !ok {
			return nil, wire.NewFailure(http.StatusNotFound, wire.OutcomeNotRun, "model_not_found", "the model %q is not declared now", rec.Request.Model)
		}
		req.Served = &served
	}
	if req.Idempotent {
		return try(ctx, s.opts.Backend, req)
	}
	return try(ctx, s.opts.Actions, req)
}
