// Package fleet describes a deployment whose backend servers are called
// directly: its configuration, its backend servers and what they report. It
// holds types and pure look-ups only; package platform fills them.
package fleet

import (
	"time"
)

// Repeat says what may be done again with a request.
type Repeat int

// The ways in which requests may be repeated.
const (
	RepeatNever  Repeat = iota // runs at most once for each client attempt
	RepeatAlways               // idempotent
	RepeatResume               // a stream that goes on at another server after its last whole event
)

// Config is one version of the deployment's configuration.
type Config struct {
	Version  int64 // grows with every change, in uneven steps
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
}

// Route sends the requests of a host whose path begins with Prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Targets      []Target
	Repeat       Repeat
	Stream       bool          // answers are streams of events
	Timeout      time.Duration // longest time that a request is kept waiting; 0 means none
	Objective    time.Duration // an answer within it earns its full credit
	GapObjective time.Duration // longest pause between events of an answer in time
	Priority     int           // 0 is the most urgent
	MaxAttempts  int           // most servers that one request may be sent to; at least 1
}

// Target is a service with its share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of backend servers that do the same work.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // of one server, by all callers together; 0 means no limit
	Engine         *Engine // nil for plain services
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots        int     // requests in a server's batch
	KVTokens     int     // memory of prompts and answers of one server, in tokens
	WeightsMB    float64 // memory of one server for weights and adapters
	AdapterSlots int     // adapters that one server may hold or fetch
	LoadsPerS    float64 // loads a second from the weight store, all servers together
	EventTokens  int     // tokens in one event of a stream
	Models       map[string]Model
}

// Model is a declared model with its adapters, named a1 to aN.
type Model struct {
	Name      string
	WeightsMB float64
	Adapters  int
	AdapterMB float64
	Load      time.Duration // from the weight store
	DiskLoad  time.Duration // from the server's disk
	WarmLoad  time.Duration // from the server's own memory
}

// Limits bound what clients may send, and how long they may take. 0 means none.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is a backend server as its registration describes it.
type Server struct {
	ID           string // of this incarnation, except that a server may restart under its ID
	Born         int64  // start of this incarnation, in Unix milliseconds; 0 when not told
	Service      string
	Address      string // IP:port
	Zone         string
	Slots        int
	Draining     bool
	Remaining    time.Duration // until it is gone; 0 when not told
	Cold         time.Duration // how much longer it is slow after its start
	Residents    []Resident
	Fetching     []string // adapters on their way, as MODEL/NAME@VERSION
	InMemory     []string // models with a copy of their weights in its memory
	OnDisk       []string // models with a copy of their weights on its disk
	Registration int64    // version of the row that says so
}

// Resident is a model that a server holds, with the adapters that it holds of it.
type Resident struct {
	Model    string
	Version  int
	Adapters []string
}

// Holds reports whether the server holds a model and, unless empty, the adapter of it.
func (s *Server) Holds(model, adapter string) bool {
	for i := range s.Residents {
		if s.Residents[i].Model != model {
			continue
		}
		if adapter == "" {
			return true
		}
		for _, a := range s.Residents[i].Adapters {
			if a == adapter {
				return true
			}
		}
	}
	return false
}

// Report is what a server says of itself when it is asked.
type Report struct {
	Residents []Resident
	Fetching  []string // adapters on their way, as MODEL/NAME@VERSION
	InMemory  []string
	OnDisk    []string
	Busy      bool  // a model order is in progress
	OrderSeq  int64 // orders accepted since its start
	Born      int64 // start of this incarnation, in Unix milliseconds
	Waiting   int   // requests
	Running   int   // requests
	KVUsed    int   // tokens that cannot be evicted
	KVTotal   int   // tokens
	Draining  bool
}
