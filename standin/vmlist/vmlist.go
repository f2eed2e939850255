// Package vmlist is a stand-in for the platform's VM list. It implements
// Prometheus HTTP service discovery and shows changes with a delay.
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
	LagMS int                 `json:"lag_ms"` // delay until the list shows this change
}

// scheduledList is a list and the time from which it is visible.
type scheduledList struct {
	groups    []store.TargetGroup
	visibleAt time.Time
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	*faults.Injector
	mu      sync.Mutex
	current []store.TargetGroup
	pending []scheduledList
}

// New returns a server with an empty list.
func New() *Server {
	s := &Server{current: []store.TargetGroup{}}
	r := mux.NewRouter()
	r.HandleFunc("/", s.get).Methods(http.MethodGet)
	r.HandleFunc("/control/vms", s.put).Methods(http.MethodPut)
	s.Injector = faults.Wrap(r)
	return s
}

// SetVMs replaces the list. The change is visible after lag.
func (s *Server) SetVMs(lag time.Duration, vms ...store.VM) {
	s.schedule(scheduledList{groups: store.TargetGroups(vms), visibleAt: time.Now().Add(lag)})
}

func (s *Server) schedule(list scheduledList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, list)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var c Control
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.schedule(scheduledList{groups: c.VMs, visibleAt: time.Now().Add(time.Duration(c.LagMS) * time.Millisecond)})
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	ServeList(w, r, s.currentAt(time.Now()))
}

// ServeList responds to a read of the list. It sets an ETag and omits the body when
// the client already has this version.
func ServeList(w http.ResponseWriter, r *http.Request, groups []store.TargetGroup) {
	raw, err := json.Marshal(groups)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("ETag", fmt.Sprintf(`"%x"`, xxhash.Sum64(raw)))
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(raw))
}

func (s *Server) currentAt(now time.Time) []store.TargetGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && !now.Before(s.pending[0].visibleAt) {
		s.current = s.pending[0].groups
		s.pending = s.pending[1:]
	}
	return s.current
}
