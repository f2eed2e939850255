// Package engine is the client of a model engine: orders, inventory, load and
// cache events. Inference requests don't pass through it; the side process
// forwards them over HTTP.
package engine

import (
	"context"
	"time"

	"peridotchute.example/common/wire"
)

// Verb is the operation of an order.
type Verb string

// Verbs of an Order.
const (
	VerbLoad   Verb = "load"
	VerbUnload Verb = "unload"
	VerbRole   Verb = "role"
)

// Role selects the phases of a request that an engine serves.
type Role string

// Roles of an engine.
const (
	RoleBoth    Role = "both"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Order is a command to load or unload an artifact or to change the role of an
// engine. FencingToken and TTL are sent to every engine, but only some check them.
type Order struct {
	Verb         Verb          `json:"verb"`
	Artifact     wire.Artifact `json:"artifact"`
	Base         string        `json:"base,omitempty"` // name of the base model, for adapters
	Bytes        int64         `json:"bytes"`
	Role         Role          `json:"role,omitempty"`
	FencingToken uint64        `json:"fencing"`
	TTL          time.Duration `json:"ttl"` // time until the order expires; 0 means never
}

// Resident is an artifact in accelerator memory, loaded or being loaded.
type Resident struct {
	Artifact wire.Artifact `json:"artifact"`
	Bytes    int64         `json:"bytes"`
	Loading  bool          `json:"loading,omitempty"`
}

// Inventory describes the artifacts and the memory use of an engine.
type Inventory struct {
	Residents   []Resident `json:"residents"`
	MemoryBytes int64      `json:"memory_bytes"`
	UsedBytes   int64      `json:"used_bytes"`
	Role        Role       `json:"role"`
}

// Load is the load that an engine reports; it lags behind the actual load.
type Load struct {
	Running int
	Waiting int
	KVUsed  float64 // fraction of the KV cache in use, 0 to 1
}

// CacheEvent reports that a prompt prefix entered or left the KV cache.
type CacheEvent struct {
	Seq     uint64 `json:"seq"` // gaps mean lost events
	Prefix  uint64 `json:"prefix"`
	Removed bool   `json:"removed,omitempty"`
}

// Client sends orders and queries to one engine. Errors are *fault.Error;
// KindUnknown means that an order may still take effect until it expires, or
// even later on engines that don't check the expiry.
type Client interface {
	Order(ctx context.Context, o Order) error
	Inventory(ctx context.Context) (Inventory, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
	ExportKV(ctx context.Context, prefix uint64) ([]byte, error)
	ImportKV(ctx context.Context, prefix uint64, data []byte) error
}
