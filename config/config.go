// Package config defines the declared configuration: the models, adapters and
// services that operators serve, the pools and teams, and which requests are
// non-idempotent.
package config

import (
	"time"

	"peridotchute.example/common/wire"
)

// Configuration is everything that operators declare. It is only ever replaced
// as a whole, by a newly accepted version.
type Configuration struct {
	Version  uint64    `json:"version"` // set on acceptance; in a declaration, the version it is based on, or 0
	ChangeID string    `json:"change_id,omitempty"`
	Regions  []Region  `json:"regions" validate:"required,dive"`
	Pools    []Pool    `json:"pools" validate:"required,dive"`
	Models   []Model   `json:"models" validate:"dive"`
	Adapters []Adapter `json:"adapters,omitempty" validate:"dive"`
	Services []Service `json:"services,omitempty" validate:"dive"`
	Teams    []Team    `json:"teams" validate:"required,dive"`
	Policy   Policy    `json:"policy"`
}

// Region is a region with its availability zones.
type Region struct {
	Name  string   `json:"name" validate:"required"`
	Zones []string `json:"zones" validate:"required"`
	Store bool     `json:"store,omitempty"` // the weight store is in this region
}

// Pool is a group of similar backend servers.
type Pool struct {
	Name         string `json:"name" validate:"required"`
	MemoryBytes  int64  `json:"memory_bytes,omitempty" validate:"gte=0,lte=562949953421312"` // accelerator memory for weights, per server
	Accelerators int    `json:"accelerators,omitempty" validate:"gte=0"`                     // per server
	Servers      int    `json:"servers,omitempty" validate:"gte=0,lte=10000"`                // expected backend servers; 0 means as many as the VM list shows
	Fencing      bool   `json:"fencing,omitempty"`                                           // engines reject orders with an old fencing token
}

// Model is a declared model. During the rollout of a new Version, both versions
// are resident until the old one has drained.
type Model struct {
	Name        string   `json:"name" validate:"required"`
	Version     string   `json:"version" validate:"required"`
	Pool        string   `json:"pool" validate:"required"`
	MemoryBytes int64    `json:"memory_bytes" validate:"gt=0,lte=562949953421312"`
	Replicas    int      `json:"replicas,omitempty" validate:"gte=0,lte=10000"` // minimum number of resident replicas; 0 means 1
	Target      Target   `json:"target"`
	Tools       []string `json:"non_idempotent_tools,omitempty"` // requests that name one of these tools are actions
}

// Adapter is a declared adapter of a model.
type Adapter struct {
	Name        string `json:"name" validate:"required"`
	Version     string `json:"version" validate:"required"`
	Model       string `json:"model" validate:"required"`
	MemoryBytes int64  `json:"memory_bytes" validate:"gt=0,lte=562949953421312"`
	Replicas    int    `json:"replicas,omitempty" validate:"gte=0,lte=10000"`
}

// Target is a model's latency target in milliseconds. Zero means no target.
type Target struct {
	FirstTokenMS int `json:"first_token_ms,omitempty" validate:"gte=0,lte=86400000"`
	TokenMS      int `json:"token_ms,omitempty" validate:"gte=0,lte=86400000"`
}

// FirstToken returns the target for the first token, or 0 if there is none.
func (t Target) FirstToken() time.Duration {
	return time.Duration(t.FirstTokenMS) * time.Millisecond
}

// Service is a plain HTTP service that is not a model engine.
type Service struct {
	Name       string   `json:"name" validate:"required"`
	Pool       string   `json:"pool" validate:"required"`
	Actions    []Action `json:"actions,omitempty" validate:"dive"`
	Idempotent []Action `json:"idempotent,omitempty" validate:"dive"` // safe to repeat although the method is not idempotent
}

// Action selects calls by method and path. A path ending in /* also matches all
// paths below it.
type Action struct {
	Method string `json:"method" validate:"required"`
	Path   string `json:"path" validate:"required"`
}

// Team is a caller with its keys and limits.
type Team struct {
	Name          string   `json:"name" validate:"required"`
	KeyHashes     []string `json:"key_hashes" validate:"required"` // SHA-256 of each key, hexadecimal
	RatePerSecond float64  `json:"rate_per_second,omitempty" validate:"omitempty,gte=0.001,lte=1000000"`
	Concurrency   int      `json:"concurrency,omitempty" validate:"gte=0"`
	Priority      int      `json:"priority,omitempty" validate:"gte=0"` // 0 is served first
}

// Policy holds the weights and limits for the deployment's decisions.
type Policy struct {
	AttainmentWeight    float64 `json:"attainment_weight" validate:"gte=0"`
	MoveWeight          float64 `json:"move_weight" validate:"gte=0"`
	LoadsPerSecond      float64 `json:"loads_per_second" validate:"omitempty,gte=0.001,lte=1000000"` // weight store, whole deployment
	ConcurrentLoads     int     `json:"concurrent_loads" validate:"gte=0,lte=10000"`                 // weight store, whole deployment
	AdapterLoads        int     `json:"adapter_loads" validate:"gte=0,lte=1000000"`                  // maximum of concurrent adapter loads, whole deployment; 0 means no limit
	LinkBytesPerSecond  int64   `json:"link_bytes_per_second" validate:"gte=0"`                      // cap on traffic between regions
	OutcomeRetentionSec int     `json:"outcome_retention_s" validate:"gte=0,lte=31536000"`
	DefaultDeadlineMS   int     `json:"default_deadline_ms" validate:"gte=0,lte=86400000"`
	MaxBodyBytes        int64   `json:"max_body_bytes" validate:"gte=0,lte=1073741824"`
}

// Defaults of Policy.
const (
	DefaultMaxBodyBytes = 8 << 20
	DefaultDeadline     = 60 * time.Second
	DefaultRetention    = 24 * time.Hour
)

// BodyLimit returns the maximum size of a request body in bytes.
func (p Policy) BodyLimit() int64 {
	if p.MaxBodyBytes > 0 {
		return p.MaxBodyBytes
	}
	return DefaultMaxBodyBytes
}

// Deadline returns the time limit of a request that does not set one.
func (p Policy) Deadline() time.Duration {
	if p.DefaultDeadlineMS > 0 {
		return time.Duration(p.DefaultDeadlineMS) * time.Millisecond
	}
	return DefaultDeadline
}

// Retention returns how long the outcome of an action is kept.
func (p Policy) Retention() time.Duration {
	if p.OutcomeRetentionSec > 0 {
		return time.Duration(p.OutcomeRetentionSec) * time.Second
	}
	return DefaultRetention
}

// Artifact returns the model's current artifact.
func (m Model) Artifact() wire.Artifact {
	return wire.Artifact{Kind: wire.KindModel, Name: m.Name, Version: m.Version}
}

// Artifact returns the adapter's current artifact.
func (a Adapter) Artifact() wire.Artifact {
	return wire.Artifact{Kind: wire.KindAdapter, Name: a.Name, Version: a.Version}
}
