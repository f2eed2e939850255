// Package objects is a stand-in for the object store. It implements GetObject
// and PutObject of the S3 protocol with path-style URLs.
package objects

import (
	"encoding/xml"
	"io"
	"net/http"
	"sync"

	"github.com/gorilla/mux"

	"peridotchute.example/standin/faults"
)

// Server is the stand-in. It is an http.Handler.
type Server struct {
	*faults.Injector
	mu     sync.Mutex
	bodies map[string][]byte // by URL path, /bucket/key
}

// New returns an empty store.
func New() *Server {
	s := &Server{bodies: map[string][]byte{}}
	r := mux.NewRouter()
	r.HandleFunc("/{bucket}/{key:.+}", s.get).Methods(http.MethodGet)
	r.HandleFunc("/{bucket}/{key:.+}", s.put).Methods(http.MethodPut)
	s.Injector = faults.Wrap(r)
	return s
}

// errorBody is the body of an S3 error response.
type errorBody struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	body, ok := s.bodies[r.URL.Path]
	s.mu.Unlock()
	if !ok {
		w.Header().Set("Content-Type", "application/xml")
		w.WriteHeader(http.StatusNotFound)
		_ = xml.NewEncoder(w).Encode(errorBody{Code: "NoSuchKey", Message: "The specified key does not exist."})
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.bodies[r.URL.Path] = body
	s.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
