// Package engine is the client of a model engine: orders, inventory, load and
// cache events. Requests themselves are forwarded as HTTP by the side process.
package engine

import (
	"context"
	"time"

	"peridotchute.example/common/wire"
)

// Verb is what an order asks of an engine.
type Verb string

// The verbs.
const (
	VerbLoad   Verb = "load"
	VerbUnload Verb = "unload"
	VerbRole   Verb = "role"
)

// Role is an engine's part in serving a request.
type Role string

// The roles.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order asks an engine to change what it holds. Fencing and Expires are sent
// to every engine; only some check them.
type Order struct {
	Verb     Verb          `json:"verb"`
	Artifact wire.Artifact `json:"artifact"`
	Base     string        `json:"base,omitempty"` // base model's name, for adapters
	Bytes    int64         `json:"bytes"`
	Role     Role          `json:"role,omitempty"`
	Fencing  uint64        `json:"fencing"`
	TTL      time.Duration `json:"ttl"` // after which the engine should ignore the order, ns
}

// Resident is one artifact in accelerator memory.
type Resident struct {
	Artifact wire.Artifact `json:"artifact"`
	Bytes    int64         `json:"bytes"`
	Loading  bool          `json:"loading,omitempty"`
}

// Inventory is what an engine holds.
type Inventory struct {
	Residents   []Resident `json:"residents"`
	MemoryBytes int64      `json:"memory_bytes"`
	UsedBytes   int64      `json:"used_bytes"`
	Role        Role       `json:"role"`
}

// Load is an engine's own, lagging view of its load.
type Load struct {
	Running int
	Waiting int
	KVUsed  float64 // share of KV cache in use, 0 to 1
}

// CacheEvent tells of a prompt prefix that entered or left the KV cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"` // gaps mean lost events
	Prefix  uint64 `json:"prefix"`
	Removed bool   `json:"removed,omitempty"`
}

// Client talks to one engine. Errors are *fault.Error; KindUnknown means that
// an order may still take effect, up to its expiry or later on engines that
// ignore it.
type Client interface {
	Order(ctx context.Context, o Order) error
	Inventory(ctx context.Context) (Inventory, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, prefix uint64) ([]byte, error)
	ImportKV(ctx context.Context, prefix uint64, data []byte) error
}
