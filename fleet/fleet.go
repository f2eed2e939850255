// Package fleet describes a deployment whose backend servers are called
// directly: its configuration, its backend servers and their reports. It
// contains only types and lookups without side effects; package platform
// decodes the values.
package fleet

import (
	"time"
)

// RetryPolicy determines whether and how a request may be sent again.
type RetryPolicy int

// The values of RetryPolicy.
const (
	RetryNever  RetryPolicy = iota // runs at most once for each client attempt
	RetryAlways                    // idempotent; may run any number of times
	RetryResume                    // a stream that another server can resume after the last complete event
)

// Config is one version of the deployment's configuration.
type Config struct {
	Version  int64 // increases with every change, not necessarily by 1
	Routes   []Route
	Services map[string]*Service
	Accounts *Accounts // nil if requests need no account
	Limits   Limits
}

// Route forwards requests for Host whose path begins with Prefix to services.
type Route struct {
	Name         string
	Host         string
	Prefix       string // begins and ends with a slash
	Targets      []Target
	RetryPolicy  RetryPolicy
	Stream       bool          // responses are event streams
	Timeout      time.Duration // maximum wait of a request; 0 means unlimited
	Objective    time.Duration // a response within it earns full credit
	GapObjective time.Duration // maximum gap between events of a response that meets its objective
	Priority     int           // 0 is the most urgent
	MaxAttempts  int           // maximum number of servers that one request is sent to; at least 1
	Public       bool          // requests need no account
}

// Target is a service with its weight in a route.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int     // per server, over all callers; 0 means no limit
	Engine         *Engine // nil for plain services
}

// Engine describes the model servers of a service.
type Engine struct {
	Slots        int     // maximum requests in a server's batch
	KVTokens     int     // KV cache capacity of one server, in tokens
	WeightsMB    float64 // memory for weights and adapters, per server
	AdapterSlots int     // adapters that one server may have loaded or be fetching
	LoadsPerS    float64 // loads per second from the weight store, over all servers
	EventTokens  int     // tokens in one stream event
	Models       map[string]Model
}

// Model is a declared model. Its adapters are named a1 to aN, where N is Adapters.
type Model struct {
	Name      string
	WeightsMB float64
	Adapters  int // number of adapters
	AdapterMB float64
	Load      time.Duration // load time from the weight store
	DiskLoad  time.Duration // load time from the server's disk
	WarmLoad  time.Duration // load time from the server's host memory
}

// Limits bounds the size and duration of client requests. 0 means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is a registered backend server.
type Server struct {
	ID           string // of this incarnation, although a restarted server may keep its ID
	Born         int64  // start of this incarnation, in Unix milliseconds; 0 if unknown
	Service      string
	Software     string // version of its software; what two versions write in one stream does not fit together
	Address      string // IP:port
	Zone         string
	Slots        int
	Draining     bool          // it gets no new requests
	Leaving      bool          // it drains by its own word in an answer, which its registration does not repeat
	LeavingSince time.Time     `json:"-"` // when it was first known to leave by its own word; zero if that is unknown
	Remaining    time.Duration // time until it shuts down; 0 if unknown
	Cold         time.Duration // remaining warm-up time, during which it is slow
	Residents    []Resident
	Fetching     []string // adapters being fetched, as MODEL/NAME@VERSION
	InMemory     []string // models whose weights are cached in its host memory
	OnDisk       []string // models whose weights are cached on its disk
	Kept         bool     `json:",omitempty"` // it has no readable registration, and is used for a while nevertheless
	Registration int64    // version of the registration row
}

// Incarnation identifies one process of a server: a restarted server may keep its ID.
type Incarnation struct {
	Server string `json:"server"` // ID
	Born   int64  `json:"born"`   // as in Server
}

// Incarnation returns the identity of the server's process.
func (s *Server) Incarnation() Incarnation { return Incarnation{Server: s.ID, Born: s.Born} }

// Resident is a model that a server has loaded, with its loaded adapters.
type Resident struct {
	Model    string
	Version  int
	Adapters []string
}

// HasLoaded reports whether the server has loaded the model and the adapter. An
// empty adapter means the model alone.
func (s *Server) HasLoaded(model, adapter string) bool {
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

// Report is a server's answer to a status request.
type Report struct {
	Residents []Resident
	Fetching  []string // adapters being fetched, as MODEL/NAME@VERSION
	InMemory  []string // models whose weights are cached in its host memory
	OnDisk    []string // models whose weights are cached on its disk
	Busy      bool     // an order for a model is in progress
	OrderSeq  int64    // orders accepted since its start
	Born      int64    // start of this incarnation, in Unix milliseconds
	Waiting   int      // waiting requests
	Running   int      // running requests
	KVUsed    int      // KV cache tokens that cannot be evicted
	KVTotal   int      // KV cache capacity, in tokens
	Draining  bool
}
