// Package store holds the narrow interfaces to what the platform provides:
// the table service, the object store and the VM list.
package store

import (
	"context"
	"time"
)

// Row is one row of the table. Version changes with every write and is the
// token of CompareAndSet.
type Row struct {
	Key     string
	Value   []byte
	Version string
}

// Table is the platform's table service. Errors are *fault.Error:
// KindNotFound, KindConflict (condition false), KindUnavailable (certainly not
// written) or KindUnknown (the write may have taken effect: read back).
type Table interface {
	Get(ctx context.Context, key string) (Row, error)
	Put(ctx context.Context, key string, value []byte) (Row, error)
	PutIfAbsent(ctx context.Context, key string, value []byte) (Row, error)
	CompareAndSet(ctx context.Context, key, version string, value []byte) (Row, error)
	Delete(ctx context.Context, key, version string) error
	// List returns up to limit rows whose keys begin with prefix and sort after
	// the key after (which may be empty), in order of key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store. Errors are as for Table.
type Objects interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
}

// VMState is a VM's state in the platform's lagging list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one row of the VM list.
type VM struct {
	Name        string
	Role        string // "entry" or "backend"
	Zone        string // availability zone
	Pool        string // backend servers only
	DataAddress string // IP:port of requests
	RPCAddress  string // IP:port of control calls
	State       VMState
}

// VMs is the platform's VM list.
type VMs interface {
	// List returns the list as the platform sees it now, possibly late.
	List(ctx context.Context) ([]VM, error)
}

// TableSettings locate the table service.
type TableSettings struct {
	URL     string `json:"url" validate:"required,url"`
	Name    string `json:"name" validate:"required"`
	Timeout int    `json:"timeout_ms,omitempty" validate:"gte=0"`
}

// ObjectSettings locate the object store.
type ObjectSettings struct {
	URL     string `json:"url" validate:"required,url"`
	Bucket  string `json:"bucket" validate:"required"`
	Timeout int    `json:"timeout_ms,omitempty" validate:"gte=0"`
}

// VMSettings locate the VM list.
type VMSettings struct {
	URL        string `json:"url" validate:"required,url"`
	IntervalMS int    `json:"interval_ms,omitempty" validate:"gte=0"`
}

// DefaultTimeout bounds one call to the platform.
const DefaultTimeout = 2 * time.Second
