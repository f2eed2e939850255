package fleet

import (
	"context"
	"time"
)

// Directory is where the configuration and the registrations of the backend
// servers are read. Errors are *fault.Error.
type Directory interface {
	// Config reads the configuration in force. KindNotFound means that there is none yet.
	Config(ctx context.Context) (Snapshot, error)
	// NextConfig waits up to wait for a configuration that was written after the
	// given position. KindConflict means that the history is gone: read Config.
	NextConfig(ctx context.Context, position int64, wait time.Duration) (Snapshot, error)
	// Servers reads all registrations. Rows that cannot be understood are left
	// out and counted in Unreadable.
	Servers(ctx context.Context) (Registry, error)
	// DecodeConfig decodes a configuration as Snapshot.Raw has it.
	DecodeConfig(raw []byte) (*Config, error)
}

// Snapshot is a configuration with the position at which it was read. Config
// is nil when there was no change, or none that can be understood.
type Snapshot struct {
	Config   *Config
	Raw      []byte // Config as it was written
	Position int64
}

// Registry holds the registrations of the backend servers at one moment.
type Registry struct {
	Servers    []Server
	Unreadable []string // keys of rows that cannot be understood
	Position   int64
	StoreTime  time.Duration // the store's steady clock
}

// OrderKind is what a server is ordered to do.
type OrderKind int

// The kinds of order.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// Order asks one incarnation of a server to load or unload a model or adapter.
type Order struct {
	Kind    OrderKind
	Model   string
	Adapter string // empty for the model itself
	Seq     int64  // orders that the server must have accepted before this one
	Holder  string // name of the VM that gives the order
	Token   int64  // fencing token; only grows
}

// OrderOutcome is what a server answered to an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderAccepted    OrderOutcome = iota // being carried out
	OrderHolds                           // already so
	OrderBusy                            // another order is in progress, or Seq differs
	OrderFenced                          // a higher fencing token was seen
	OrderInvalid                         // not understood
	OrderMisdirected                     // another incarnation has the address
)

// Control calls one backend server. Errors are *fault.Error; KindUnknown means
// that an order may have been, or may yet be, carried out.
type Control interface {
	Order(ctx context.Context, s *Server, o Order) (OrderOutcome, error)
	Report(ctx context.Context, s *Server) (Report, error)
}
