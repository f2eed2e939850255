// Package store provides clients of the platform's services: the table service,
// the object store and the VM list.
package store

import (
	"context"
	"time"
)

// Row is one row of the table. Version changes with every write and is compared by
// CompareAndSet and Delete.
type Row struct {
	Key     string
	Value   []byte
	Version string
	// Era is the era of the table at the time of the call. It rises each time that the
	// table returns from an older copy, without the writes since then. 0 if unknown.
	Era int64
	// Latest counts the writes to the table in this era and before the copy, at the time of
	// the call. 0 if unknown.
	Latest int64
}

// Table is the platform's table service. Errors are *fault.Error with the kind
// KindNotFound, KindConflict (condition not met), KindInvalid, KindUnavailable (a
// write did not take effect) or KindUnknown (a write may have taken effect; read
// the row to find out).
//
// A write that is in flight when the table returns from an older copy may meet its condition
// with another row that has got the same version anew. The Era of the returned row tells.
type Table interface {
	// Get returns a row. With KindNotFound, the returned row has no Value and Version.
	Get(ctx context.Context, key string) (Row, error)
	Put(ctx context.Context, key string, value []byte) (Row, error)
	PutIfAbsent(ctx context.Context, key string, value []byte) (Row, error)
	CompareAndSet(ctx context.Context, key, version string, value []byte) (Row, error)
	Delete(ctx context.Context, key, version string) error
	// List returns up to limit rows in order of key, whose keys begin with prefix
	// and sort after the key after, which may be empty.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Partitioned is a Table whose rows lie in partitions. Writes to one partition are applied
// one after the other, so rows that many processes write are spread over several.
type Partitioned interface {
	Table
	// Partition returns the part of the table with the given name. The Table itself is the
	// partition without a name; a key exists in each partition on its own.
	Partition(name string) Table
}

// Objects is the platform's object store. Errors are as for Table.
type Objects interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
}

// VMState is a VM's state in the VM list, which may be outdated.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one VM in the VM list.
type VM struct {
	Name        string
	Role        string // "entry" or "backend"
	Zone        string // availability zone
	Pool        string // backend servers only
	DataAddress string // IP:port for requests
	RPCAddress  string // IP:port for control calls
	State       VMState
}

// VMs is the platform's VM list.
type VMs interface {
	// List returns the current list, which may lag behind the VMs' actual states.
	List(ctx context.Context) ([]VM, error)
}

// TableSettings are the settings of the table service's client.
type TableSettings struct {
	URL     string `json:"url" validate:"required,url"`
	Name    string `json:"name" validate:"required"`
	Timeout int    `json:"timeout_ms,omitempty" validate:"gte=0"`
}

// ObjectSettings are the settings of the object store's client.
type ObjectSettings struct {
	URL     string `json:"url" validate:"required,url"`
	Bucket  string `json:"bucket" validate:"required"`
	Timeout int    `json:"timeout_ms,omitempty" validate:"gte=0"`
}

// VMSettings are the settings of the VM list's client.
type VMSettings struct {
	URL        string `json:"url" validate:"required,url"`
	IntervalMS int    `json:"interval_ms,omitempty" validate:"gte=0"`
}

// DefaultTimeout bounds one call to the platform.
const DefaultTimeout = 2 * time.Second
