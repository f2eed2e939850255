package fleet

import (
	"context"
	"time"
)

// Directory reads the configuration and the registrations of the backend
// servers. Errors are *fault.Error.
type Directory interface {
	// Config reads the active configuration. KindNotFound means that there is none yet.
	Config(ctx context.Context) (Snapshot, error)
	// NextConfig waits up to wait for a configuration that was written after the
	// given position. KindConflict means that the history from that position is
	// no longer available and the caller must use Config. If the snapshot has another
	// era than the position, it may lack configurations, and the caller must use Config.
	NextConfig(ctx context.Context, position Position, wait time.Duration) (Snapshot, error)
	// Servers reads all registrations. Rows that cannot be decoded are omitted
	// and their keys listed in Unreadable.
	Servers(ctx context.Context) (Registry, error)
	// DecodeConfig decodes a configuration in the format of Snapshot.Raw.
	DecodeConfig(raw []byte) (*Config, error)
}

// Snapshot is a configuration and the position in the history at which it was
// read. Config is nil if nothing changed or no change can be decoded.
type Snapshot struct {
	Config   *Config
	Raw      []byte // encoded Config, as stored but for API keys, in whose place it has their digests
	Position Position
}

// Registry is a snapshot of the registrations of the backend servers.
type Registry struct {
	Servers    []Server
	Unreadable []string // keys of rows that cannot be decoded
	Position   Position
	StoreTime  time.Duration // reading of the store's monotonic clock
}

// OrderKind is the operation that an order requests.
type OrderKind int

// The kinds of order.
const (
	OrderLoad OrderKind = iota
	OrderUnload
)

// Order asks one incarnation of a server to load or unload a model or adapter.
type Order struct {
	Kind         OrderKind
	Model        string
	Adapter      string // empty for the model itself
	Seq          int64  // number of orders that the server must have accepted before this one
	LeaseHolder  string // VM name of the lease holder that issues the order
	FencingToken int64  // fencing token; never decreases
}

// OrderOutcome is a server's answer to an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderAccepted    OrderOutcome = iota // the server is executing it
	OrderAlreadyDone                     // the server is already in the requested state
	OrderBusy                            // another order is in progress, or Seq differs
	OrderFenced                          // the server has seen a higher fencing token
	OrderInvalid                         // the server rejected it as malformed
	OrderMisdirected                     // the address belongs to another incarnation now
)

// Control calls backend servers. Errors are *fault.Error; KindUnknown means
// that the server may have executed the order or may still do so.
type Control interface {
	Order(ctx context.Context, s *Server, o Order) (OrderOutcome, error)
	Report(ctx context.Context, s *Server) (Report, error)
}
