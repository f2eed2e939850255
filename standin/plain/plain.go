// Package plain is a stand-in for a plain service, such as a till or a booking
// system. It records every call that it executes, so that tests can count them.
package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"peridotchute.example/common/wire"
)

// Call is a call that the service executed.
type Call struct {
	Key    string    `json:"key"` // value of wire.HeaderAction; recorded, not used for deduplication
	Method string    `json:"method"`
	Path   string    `json:"path"`
	Digest string    `json:"digest"` // SHA-256 of the body, hexadecimal
	At     time.Time `json:"at"`     // when the call took effect
}

// Receipt is the response body of a call.
type Receipt struct {
	Number int    `json:"number"` // sequence number of the call, from 1
	Digest string `json:"digest"`
}

// Behaviour configures the responses to calls.
type Behaviour struct {
	DelayMS    int  `json:"delay_ms"`    // between the effect and the response
	BeforeMS   int  `json:"before_ms"`   // between the request and the effect
	Status     int  `json:"status"`      // HTTP status; 0 means 200
	Cut        bool `json:"cut"`         // close the connection after the effect, without a response
	Pieces     int  `json:"pieces"`      // if positive, flush the response in this many pieces, DelayMS apart
	PieceBytes int  `json:"piece_bytes"` // length of each piece
}

// Service is the stand-in. Create it with New.
type Service struct {
	mu        sync.Mutex
	calls     []Call
	behaviour Behaviour
	router    *mux.Router
}

// New returns a service that responds without delay.
func New() *Service {
	s := &Service{router: mux.NewRouter()}
	s.router.HandleFunc("/control/calls", s.listCalls).Methods(http.MethodGet)
	s.router.HandleFunc("/control/behaviour", s.putBehaviour).Methods(http.MethodPut)
	s.router.PathPrefix("/").HandlerFunc(s.serveCall)
	return s
}

// ServeHTTP executes a call or serves a control request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// Calls returns the executed calls in order.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// Set replaces the behaviour.
func (s *Service) Set(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

func (s *Service) listCalls(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Calls())
}

func (s *Service) putBehaviour(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(b)
}

// serveCall executes a call. Once the body is read, the call takes effect even
// if the client disconnects.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	b := s.behaviour
	s.mu.Unlock()
	time.Sleep(time.Duration(b.BeforeMS) * time.Millisecond)
	receipt := s.record(r, body)
	if b.Cut {
		panic(http.ErrAbortHandler)
	}
	if b.Pieces > 0 {
		writePieces(w, b)
		return
	}
	time.Sleep(time.Duration(b.DelayMS) * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	if b.Status != 0 {
		w.WriteHeader(b.Status)
	}
	_ = json.NewEncoder(w).Encode(receipt)
}

func (s *Service) record(r *http.Request, body []byte) Receipt {
	sum := sha256.Sum256(body)
	call := Call{
		Key:    r.Header.Get(wire.HeaderAction),
		Method: r.Method,
		Path:   r.URL.Path,
		Digest: hex.EncodeToString(sum[:]),
		At:     time.Now(),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return Receipt{Number: len(s.calls), Digest: call.Digest}
}

// writePieces sends the response in pieces. Each piece repeats one letter, which
// identifies its position.
func writePieces(w http.ResponseWriter, b Behaviour) {
	controller := http.NewResponseController(w)
	piece := make([]byte, max(b.PieceBytes, 1))
	for i := range b.Pieces {
		for j := range piece {
			piece[j] = byte('a' + i%26)
		}
		if _, err := w.Write(piece); err != nil {
			return
		}
		_ = controller.Flush()
		time.Sleep(time.Duration(b.DelayMS) * time.Millisecond)
	}
}
