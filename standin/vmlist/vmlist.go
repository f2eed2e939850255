// Package vmlist is a stand-in for the platform's VM list: Prometheus HTTP
// service discovery, which shows changes late.
package vmlist

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"peridotchute.example/standin/faults"
	"peridotchute.example/store"
)

// Control is the body of PUT /control/vms.
type Control struct {
	VMs   []store.TargetGroup `json:"vms"`
	LagMS int                 `json:"lag_ms"` // until the list shows this change
}

// change is a list and the time from which it is shown.
type change struct {
	groups []store.TargetGroup
	from   time.Time
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	*faults.Injector
	mu      sync.Mutex
	shown   []store.TargetGroup
	pending []change
}

// New returns an empty list.
func New() *Server {
	s := &Server{shown: []store.TargetGroup{}}
	r := mux.NewRouter()
	r.HandleFunc("/", s.get).Methods(http.MethodGet)
	r.HandleFunc("/control/vms", s.put).Methods(http.MethodPut)
	s.Injector = faults.Wrap(r)
	return s
}

// SetVMs replaces the list, shown after lag.
func (s *Server) SetVMs(lag time.Duration, vms ...store.VM) {
	s.set(change{groups: store.TargetGroups(vms), from: time.Now().Add(lag)})
}

func (s *Server) set(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, c)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.set(change{groups: c.VMs, from: time.Now().Add(time.Duration(c.LagMS) * time.Millisecond)})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	Write(w, r, s.visible(time.Now()))
}

// Write answers a reading of the list, with an entity tag and without a body
// when the reader has this list already.
func Write(w http.ResponseWriter, r *http.Request, groups []store.TargetGroup) {
	raw, err := json.Marshal(groups)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf(`"%x"`, xxhash.Sum64(raw)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(raw))
}

func (s *Server) visible(now time.Time) []store.TargetGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !now.Before(s.pending[0].from) {
		s.shown = s.pending[0].groups
		s.pending = s.pending[1:]
	}
	return s.shown
}
