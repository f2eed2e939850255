// Package faults injects faults into a stand-in: delays, unavailability, and
// responses that are lost after the request took effect.
package faults

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"peridotchute.example/common/clock"
)

// Path is the URL path at which GET returns the settings and PUT replaces them.
const Path = "/control/faults"

// Settings are the active faults. The zero value injects none.
type Settings struct {
	SlowMS        int    `json:"slow_ms"`         // delay before each request
	Down          bool   `json:"down"`            // respond 503 without processing the request
	LoseResponses bool   `json:"lose_answers"`    // process the request, then close the connection without a response
	SkipNext      int    `json:"skip_next"`       // number of matching requests served before any response is lost
	LoseNext      int    `json:"lose_next"`       // like LoseResponses, for this many matching requests
	Match         string `json:"match,omitempty"` // lose only responses to requests whose path or X-Amz-Target contains this text
}

// Injector is a handler that forwards requests to the next handler and applies
// the active faults. Requests below /control/ are exempt.
type Injector struct {
	next     http.Handler
	mu       sync.Mutex
	settings Settings
}

// Wrap returns an injector for next without faults.
func Wrap(next http.Handler) *Injector { return &Injector{next: next} }

// Set replaces the active faults.
func (i *Injector) Set(s Settings) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.settings = s
}

// Settings returns the active faults.
func (i *Injector) Settings() Settings {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.settings
}

// ServeHTTP forwards a request under the active faults, or serves the settings.
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
	s, lose := i.nextFault(r)
	if s.SlowMS > 0 && clock.Sleep(r.Context(), time.Duration(s.SlowMS)*time.Millisecond) != nil {
		return
	}
	if s.Down {
		http.Error(w, "the stand-in is down", http.StatusServiceUnavailable)
		return
	}
	if lose {
		i.next.ServeHTTP(discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	i.next.ServeHTTP(w, r)
}

// nextFault returns the faults for one request and whether its response is lost.
// It updates the counters SkipNext and LoseNext.
func (i *Injector) nextFault(r *http.Request) (Settings, bool) {
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
	return s, s.LoseResponses
}

func (s Settings) matches(r *http.Request) bool {
	return strings.Contains(r.URL.Path, s.Match) || strings.Contains(r.Header.Get("X-Amz-Target"), s.Match)
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}
func (d discardWriter) Flush()                      {}
