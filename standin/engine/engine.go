// Package engine is a stand-in for a model engine: an OpenAI-compatible
// handler with a simple timing model. Its tokens depend only on the artifact,
// the prompt and the position. It does not enforce its memory limit but counts
// violations.
package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/wire"
	api "peridotchute.example/engine"
)

// Timing is the timing model, before scaling by Options.TimeScale.
type Timing struct {
	MaxBatch        int           // concurrent requests; 0 means 16
	PrefillPerToken time.Duration // per prompt token that is not cached
	DecodeStep      time.Duration // time between two tokens of a request that runs alone
	DecodeSlowdown  float64       // relative growth of DecodeStep per additional running request
	LoadLag         time.Duration // minimum time between updates of the load metrics
	EventLag        time.Duration // delay until a cache event is visible
}

// DefaultTiming approximates a mid-sized model on one accelerator.
var DefaultTiming = Timing{
	MaxBatch:        16,
	PrefillPerToken: 250 * time.Microsecond,
	DecodeStep:      20 * time.Millisecond,
	DecodeSlowdown:  0.05,
	LoadLag:         500 * time.Millisecond,
	EventLag:        300 * time.Millisecond,
}

// Loader fetches the weights of an artifact and returns when the transfer is
// complete.
type Loader func(ctx context.Context, a wire.Artifact) error

// Options configure a stand-in engine.
type Options struct {
	Name        string
	MemoryBytes int64   // memory limit; loads beyond it are counted, not rejected
	Fencing     bool    // reject orders that have expired or carry a stale fencing token
	TimeScale   float64 // 1 is real time, smaller is faster, 0 means no delays
	Timing      Timing  // zero means DefaultTiming
	CacheBlocks int     // capacity of the prefix cache; 0 means 4096
	EventGap    int     // every n-th cache event is lost; 0 means none
	Load        Loader  // nil means that loads take no time
}

const (
	defaultBatch       = 16
	defaultCacheBlocks = 4096
)

// Engine is one stand-in engine. It is an http.Handler.
type Engine struct {
	opts         Options
	router       *mux.Router
	mem          *memory
	sched        *scheduler
	cache        *cache
	requestLog   *requestLog
	loadSnapshot loadSnapshot
}

// New returns an engine with no artifacts loaded.
func New(opts Options) *Engine {
	if opts.Timing == (Timing{}) {
		opts.Timing = DefaultTiming
	}
	if opts.Timing.MaxBatch <= 0 {
		opts.Timing.MaxBatch = defaultBatch
	}
	if opts.CacheBlocks <= 0 {
		opts.CacheBlocks = defaultCacheBlocks
	}
	e := &Engine{
		opts:       opts,
		router:     mux.NewRouter(),
		mem:        newMemory(opts.MemoryBytes),
		sched:      newScheduler(opts.Timing.MaxBatch),
		cache:      newCache(opts.CacheBlocks, opts.EventGap),
		requestLog: newRequestLog(),
	}
	e.routes()
	return e
}

func (e *Engine) routes() {
	r := e.router
	post := func(path string, h http.HandlerFunc) { r.HandleFunc(path, h).Methods(http.MethodPost) }
	get := func(path string, h http.HandlerFunc) { r.HandleFunc(path, h).Methods(http.MethodGet) }
	post("/v1/chat/completions", e.chat)
	post("/v1/completions", e.completions)
	post(api.PathLoadAdapter, e.load)
	post(api.PathLoadModel, e.load)
	post(api.PathUnloadAdapter, e.unload)
	post(api.PathUnloadModel, e.unload)
	post(api.PathRole, e.setRole)
	get(api.PathInventory, e.inventory)
	get(api.PathCacheEvents, e.cacheEvents)
	get(api.PathMetrics, e.metrics)
	get(api.PathKV+"{prefix}", e.exportKV)
	r.HandleFunc(api.PathKV+"{prefix}", e.importKV).Methods(http.MethodPut)
	get("/control/breaches", e.breaches)
	get("/control/requests", e.requests)
}

// ServeHTTP serves one request and echoes its request ID.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(wire.HeaderRequestID); id != "" {
		w.Header().Set(wire.HeaderRequestID, id)
	}
	e.router.ServeHTTP(w, r)
}

// scaled returns d multiplied by the time scale.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.opts.TimeScale)
}

// sleepUntil sleeps until at. It returns the error of ctx if that ends first.
func sleepUntil(ctx context.Context, at time.Time) error {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err()
	}
	return clock.Sleep(ctx, wait)
}
