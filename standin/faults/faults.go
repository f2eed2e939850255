// Package faults makes a stand-in misbehave on request: slow, down, or losing
// its answers after the effect took place.
package faults

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotchute.example/common/clock"
)

// Path is where the settings are read with GET and set with PUT.
const Path = "/control/faults"

// Settings are the faults in force. The zero value is none.
type Settings struct {
	SlowMS      int    `json:"slow_ms"`         // added before each request
	Down        bool   `json:"down"`            // answers 503 without any effect
	LoseAnswers bool   `json:"lose_answers"`    // the effect takes place, then the connection is cut
	SkipNext    int    `json:"skip_next"`       // this many matching requests pass before any answer is lost
	LoseNext    int    `json:"lose_next"`       // as LoseAnswers, for this many matching requests
	Match       string `json:"match,omitempty"` // limits lost answers to requests whose path or X-Amz-Target contains it
}

// Injector is a handler that passes requests on to the next one under the
// faults in force. Requests below /control/ suffer no faults.
type Injector struct {
	next     http.Handler
	mu       sync.Mutex
	settings Settings
}

// Wrap returns an injector without faults.
func Wrap(next http.Handler) *Injector { return &Injector{next: next} }

// Set replaces the faults in force.
func (i *Injector) Set(s Settings) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settings = s
}

// Settings returns the faults in force.
func (i *Injector) Settings() Settings {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings
}

// ServeHTTP applies the faults, or reads or sets them.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == Path:
		i.control(w, r)
	case strings.HasPrefix(r.URL.Path, "/control/"):
		i.next.ServeHTTP(w, r)
	default:
		i.inject(w, r)
	}
}

func (i *Injector) control(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(i.Settings())
	case http.MethodPut:
		var s Settings
		dec := json.NewDecoder(r.Body)
		dec.DisallowUnknownFields()
		if err := dec.Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.Set(s)
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "use GET or PUT", http.StatusMethodNotAllowed)
	}
}

func (i *Injector) inject(w http.ResponseWriter, r *http.Request) {
	s, lose := i.decide(r)
	if s.SlowMS > 0 && clock.Sleep(r.Context(), time.Duration(s.SlowMS)*time.Millisecond) != nil {
		return
	}
	if s.Down {
		http.Error(w, "the stand-in is down", http.StatusServiceUnavailable)
		return
	}
	if lose {
		i.next.ServeHTTP(discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	i.next.ServeHTTP(w, r)
}

// decide returns the faults for one request and whether its answer is lost.
func (i *Injector) decide(r *http.Request) (Settings, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	s := i.settings
	if s.Down || !s.matches(r) {
		return s, false
	}
	if s.SkipNext > 0 {
		i.settings.SkipNext--
		return s, false
	}
	if s.LoseNext > 0 {
		i.settings.LoseNext--
		return s, true
	}
	return s, s.LoseAnswers
}

func (s Settings) matches(r *http.Request) bool {
	return strings.Contains(r.URL.Path, s.Match) || strings.Contains(r.Header.Get("X-Amz-Target"), s.Match)
}

// discard is a response that nobody receives.
type discard struct {
	header http.Header
}

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}
func (d discard) Flush()                      {}
