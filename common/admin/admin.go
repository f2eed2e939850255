// Package admin implements the administration listener of every process: health,
// readiness, metrics, profiles and a dump of the process's state.
package admin

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"sort"
	"sync"
	"sync/atomic"

	"github.com/gorilla/mux"
)

// Dumper contributes one section to the state dump. The returned value is
// written as JSON and must not contain secrets.
type Dumper interface {
	DumpState() any
}

// DumpFunc adapts a function to Dumper.
type DumpFunc func() any

// DumpState calls f.
func (f DumpFunc) DumpState() any { return f() }

// Check reports why the process is not ready, or nil when it is.
type Check func() error

// Server serves the dump sections and readiness checks of one process.
type Server struct {
	stopping atomic.Bool
	mu       sync.Mutex
	sections map[string]Dumper
	checks   map[string]Check
	router   *mux.Router
}

// NewServer returns a server with the routes that all processes share.
func NewServer() *Server {
	s := &Server{sections: map[string]Dumper{}, checks: map[string]Check{}, router: mux.NewRouter()}
	s.router.HandleFunc("/healthz", s.health).Methods(http.MethodGet)
	s.router.HandleFunc("/readyz", s.ready).Methods(http.MethodGet)
	s.router.Handle("/debug/vars", expvar.Handler()).Methods(http.MethodGet)
	s.router.HandleFunc("/debug/state", s.dump).Methods(http.MethodGet)
	s.router.HandleFunc("/debug/pprof/profile", pprof.Profile).Methods(http.MethodGet)
	s.router.PathPrefix("/debug/pprof/").HandlerFunc(pprof.Index).Methods(http.MethodGet)
	return s
}

// Router returns the router, so that a daemon can add its own routes.
func (s *Server) Router() *mux.Router { return s.router }

// AddSection adds a named section to the dump.
func (s *Server) AddSection(name string, d Dumper) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sections[name] = d
}

// AddCheck adds a named readiness check.
func (s *Server) AddCheck(name string, c Check) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks[name] = c
}

// SetStopping makes the process permanently not ready, so that load balancers send
// it no new requests during a graceful shutdown.
func (s *Server) SetStopping() { s.stopping.Store(true) }

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// readiness is the body of /readyz.
type readiness struct {
	Ready  bool           `json:"ready"`
	Checks []failingCheck `json:"failing,omitempty"`
}

// failingCheck is a readiness check that failed.
type failingCheck struct {
	Check  string `json:"check"`
	Reason string `json:"reason"`
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	var failed []failingCheck
	for name, check := range s.checks {
		if err := check(); err != nil {
			failed = append(failed, failingCheck{Check: name, Reason: err.Error()})
		}
	}
	s.mu.Unlock()
	if s.stopping.Load() {
		failed = append(failed, failingCheck{Check: "stopping", Reason: "a graceful shutdown is in progress"})
	}
	sort.Slice(failed, func(i, j int) bool { return failed[i].Check < failed[j].Check })
	status := http.StatusOK
	if len(failed) > 0 {
		status = http.StatusServiceUnavailable
	}
	WriteJSON(w, status, readiness{Ready: len(failed) == 0, Checks: failed})
}

func (s *Server) dump(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, s.State())
}

// State returns all sections of the dump, by name.
func (s *Server) State() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]any, len(s.sections))
	for name, section := range s.sections {
		out[name] = section.DumpState()
	}
	return out
}

// WriteJSON sends v as an indented JSON body with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(v)
}
