// Package weights is a stand-in for the rate-limited weight store. It responds
// to a request for an artifact when the transfer would be complete.
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

// Options configure the store. Rates and times are before scaling by TimeScale.
type Options struct {
	LoadsPerSecond  float64       // rate of model loads; 0 means no limit
	ConcurrentLoads int           // concurrent model loads at full speed; 0 means no limit
	ModelTime       time.Duration // load time of a model at full speed
	AdapterLoads    int           // concurrent adapter loads at full speed; 0 means no limit
	AdapterTime     time.Duration // load time of an adapter at full speed
	FreeModels      int           // number of initial model loads served without delay or limits
	TimeScale       float64       // 1 is real time, smaller is faster, 0 means no delays
}

// Counts are the loads that the store has served.
type Counts struct {
	Models       int `json:"models"`
	Free         int `json:"free"` // model loads served without limits
	Adapters     int `json:"adapters"`
	PeakModels   int `json:"peak_models"`
	PeakAdapters int `json:"peak_adapters"`
	Slowed       int `json:"beyond"` // loads started above the full-speed concurrency
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
	s.router.HandleFunc("/weights/{artifact:.+}", s.getArtifact).Methods(http.MethodGet)
	s.router.HandleFunc("/control/counts", s.getCounts).Methods(http.MethodGet)
	return s
}

// ServeHTTP serves one request.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Counts returns the counts since start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Store) getCounts(w http.ResponseWriter, _ *http.Request) {
	admin.WriteJSON(w, http.StatusOK, s.Counts())
}

func (s *Store) getArtifact(w http.ResponseWriter, r *http.Request) {
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
	if s.takeFree() {
		return nil
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return err
	}
	return s.transfer(ctx, &s.models, s.opts.ConcurrentLoads, s.opts.ModelTime)
}

// takeFree reports whether a model load is one of the first FreeModels, and
// counts it if so.
func (s *Store) takeFree() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts.Free >= s.opts.FreeModels {
		return false
	}
	s.counts.Free++
	return true
}

// transfer sleeps for duration, or proportionally longer when more than
// maxFullSpeed transfers are in flight. Zero maxFullSpeed means no limit.
func (s *Store) transfer(ctx context.Context, inFlight *int, maxFullSpeed int, duration time.Duration) error {
	s.mu.Lock()
	*inFlight++
	slowdown := 1.0
	if maxFullSpeed > 0 && *inFlight > maxFullSpeed {
		slowdown = float64(*inFlight) / float64(maxFullSpeed)
		s.counts.Slowed++
	}
	s.countLocked(inFlight)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		*inFlight--
		s.mu.Unlock()
	}()
	return clock.Sleep(ctx, time.Duration(float64(duration)*slowdown*s.opts.TimeScale))
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

// Loader returns a function that fetches artifacts from the store at the base
// URL. The stand-in engines use it as their loader.
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
			return fmt.Errorf("weight store responded %s", resp.Status)
		}
		return nil
	}
}
