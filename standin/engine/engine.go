// Package engine is a stand-in for a model engine: an OpenAI-compatible
// handler whose tokens follow from the prompt alone, with one small timing
// model. It never enforces its memory limit; it counts every breach instead.
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

// Timing is the timing model before scaling. The zero value has no delays.
type Timing struct {
	MaxBatch        int           // requests that run at once; 0 means 16
	PrefillPerToken time.Duration // for each prompt token that is not cached
	DecodeStep      time.Duration // between two tokens of a request that runs alone
	DecodeSlowdown  float64       // growth of a step for each further running request
	LoadLag         time.Duration // age of the published load
	EventLag        time.Duration // delay of cache events
}

// DefaultTiming is a mid-sized model on one accelerator.
var DefaultTiming = Timing{
	MaxBatch:        16,
	PrefillPerToken: 250 * time.Microsecond,
	DecodeStep:      20 * time.Millisecond,
	DecodeSlowdown:  0.05,
	LoadLag:         500 * time.Millisecond,
	EventLag:        300 * time.Millisecond,
}

// Loader fetches an artifact's weights and returns when they have arrived.
type Loader func(ctx context.Context, a wire.Artifact) error

// Options configure a stand-in engine.
type Options struct {
	Name        string
	MemoryBytes int64   // limit against which breaches are counted
	Fencing     bool    // refuse orders that have expired or carry an old fencing number
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
	opts      Options
	router    *mux.Router
	mem       *memory
	sched     *scheduler
	cache     *cache
	log       *requestLog
	published published
}

// New returns an engine that holds nothing.
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
		opts:   opts,
		router: mux.NewRouter(),
		mem:    newMemory(opts.MemoryBytes),
		sched:  newScheduler(opts.Timing.MaxBatch),
		cache:  newCache(opts.CacheBlocks, opts.EventGap),
		log:    newRequestLog(),
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

// ServeHTTP answers one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(wire.HeaderRequestID); id != "" {
		w.Header().Set(wire.HeaderRequestID, id)
	}
	e.router.ServeHTTP(w, r)
}

// scaled returns d in the engine's own time.
func (e *Engine) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * e.opts.TimeScale)
}

// sleepUntil waits for a moment and returns early with ctx's error.
func sleepUntil(ctx context.Context, at time.Time) error {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err()
	}
	return clock.Sleep(ctx, wait)
}
