// Package weights is a stand-in for the rate-limited weight store. A request
// for an artifact is answered once its bytes would have arrived.
package weights

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"peridotchute.example/common/admin"
	"peridotchute.example/common/clock"
	"peridotchute.example/common/wire"
)

// Options configure the store. Times are before scaling.
type Options struct {
	LoadsPerSecond  float64       // models that may begin in a second; 0 means no limit
	ConcurrentLoads int           // models at full speed at once; 0 means no limit
	ModelTime       time.Duration // one model at full speed
	AdapterLoads    int           // adapters at full speed at once; 0 means no limit
	AdapterTime     time.Duration // one adapter at full speed
	FreeModels      int           // models served at once before the limits begin to count
	TimeScale       float64       // 1 is real time, smaller is faster, 0 means no delays
}

// Counts is what the store has served.
type Counts struct {
	Models       int `json:"models"`
	Free         int `json:"free"` // models served before the limits counted
	Adapters     int `json:"adapters"`
	PeakModels   int `json:"peak_models"`
	PeakAdapters int `json:"peak_adapters"`
	Beyond       int `json:"beyond"` // loads begun beyond a knee
}

// Store is the stand-in. It is an http.Handler.
type Store struct {
	opts     Options
	router   *mux.Router
	limiter  *rate.Limiter
	mu       sync.Mutex
	counts   Counts
	models   int // in flight
	adapters int // in flight
}

// New returns a store that serves every artifact.
func New(opts Options) *Store {
	limit := rate.Inf
	if opts.LoadsPerSecond > 0 && opts.TimeScale > 0 {
		limit = rate.Limit(opts.LoadsPerSecond / opts.TimeScale)
	}
	s := &Store{opts: opts, router: mux.NewRouter(), limiter: rate.NewLimiter(limit, max(opts.ConcurrentLoads, 1))}
	s.router.HandleFunc("/weights/{artifact:.+}", s.get).Methods(http.MethodGet)
	s.router.HandleFunc("/control/counts", s.control).Methods(http.MethodGet)
	return s
}

// ServeHTTP answers one request.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Counts returns the counts so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) control(w http.ResponseWriter, _ *http.Request) {
	admin.WriteJSON(w, http.StatusOK, s.Counts())
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	a, err := wire.ParseArtifact(mux.Vars(r)["artifact"])
	if err != nil {
		wire.NewFailure(http.StatusBadRequest, "", "invalid_artifact", "%v", err).Write(w)
		return
	}
	if err := s.serve(r.Context(), a); err != nil {
		return
	}
	_, _ = fmt.Fprintln(w, a)
}

func (s *Store) serve(ctx context.Context, a wire.Artifact) error {
	if a.Kind == wire.KindAdapter {
		return s.transfer(ctx, &s.adapters, s.opts.AdapterLoads, s.opts.AdapterTime)
	}
	if s.free() {
		return nil
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	return s.transfer(ctx, &s.models, s.opts.ConcurrentLoads, s.opts.ModelTime)
}

// free counts a model that is served at once, while any are left.
func (s *Store) free() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.Free >= s.opts.FreeModels {
		return false
	}
	s.counts.Free++
	return true
}

// transfer takes full, or longer in proportion when more than knee are in flight.
func (s *Store) transfer(ctx context.Context, inFlight *int, knee int, full time.Duration) error {
	s.mu.Lock()
	*inFlight++
	slower := 1.0
	if knee > 0 && *inFlight > knee {
		slower = float64(*inFlight) / float64(knee)
		s.counts.Beyond++
	}
	s.countLocked(inFlight)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		*inFlight--
		s.mu.Unlock()
	}()
	return clock.Sleep(ctx, time.Duration(float64(full)*slower*s.opts.TimeScale))
}

func (s *Store) countLocked(inFlight *int) {
	if inFlight == &s.models {
		s.counts.Models++
		s.counts.PeakModels = max(s.counts.PeakModels, s.models)
		return
	}
	s.counts.Adapters++
	s.counts.PeakAdapters = max(s.counts.PeakAdapters, s.adapters)
}

// Loader returns a function that fetches artifacts from the store at base, for
// use by the stand-in engines.
func Loader(base string, client *http.Client) func(context.Context, wire.Artifact) error {
	base = strings.TrimSuffix(base, "/")
	return func(ctx context.Context, a wire.Artifact) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/weights/"+a.String(), nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("weight store answered %s", resp.Status)
		}
		return nil
	}
}
