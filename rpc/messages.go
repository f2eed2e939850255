package rpc

import (
	"time"

	"peridotchute.example/common/wire"
	"peridotchute.example/config"
	"peridotchute.example/engine"
	"peridotchute.example/idempotency"
)

// Method names.
const (
	MethodHello     = "member.hello"
	MethodReport    = "member.report" // notification
	MethodResidents = "member.residence"
	MethodOffer     = "config.offer"
	MethodFetch     = "config.fetch"
	MethodFence     = "action.bar"
	MethodOutcome   = "action.outcome"
	MethodOrder     = "order.submit"
	MethodInventory = "inventory.get"
	MethodDrain     = "drain.begin"
)

// Role is the kind of a process.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry"
	RoleSide  Role = "side"
)

// Identity identifies a process to its peers.
type Identity struct {
	Name        string `json:"name"`        // of the VM
	Incarnation string `json:"incarnation"` // unique per start of the process
	Role        Role   `json:"role"`
	Zone        string `json:"zone"`
	Region      string `json:"region,omitempty"`
	Pool        string `json:"pool,omitempty"`
	DataAddress string `json:"data_address,omitempty"`
	RPCAddress  string `json:"rpc_address,omitempty"`

	Processor float64 `json:"processor,omitempty"` // of the VM, in cores of usual speed; 0 if unknown
}

// Hello is the first message on a connection. Key is the deployment key.
type Hello struct {
	Identity      Identity `json:"identity"`
	Key           string   `json:"key"`
	ConfigVersion uint64   `json:"config_version"`
	Servers       int      `json:"servers,omitempty"` // number of backend servers that the sender knows; 0 if it does not track them
}

// HelloReply is the reply to Hello. Key proves that the listener knows the
// deployment key too.
type HelloReply struct {
	Identity      Identity `json:"identity"`
	Key           string   `json:"key"`
	ConfigVersion uint64   `json:"config_version"`
}

// State is the serving state of a side process.
type State string

// The states of a side process.
const (
	StateServing  State = "serving"
	StateDraining State = "draining" // finishes work in progress and accepts no more
)

// Report is the periodic load report of a side process.
type Report struct {
	Name            string `json:"name"`
	Incarnation     string `json:"incarnation"`
	Seq             uint64 `json:"seq"` // starts at 1 in each incarnation
	State           State  `json:"state"`
	InFlight        int    `json:"in_flight"`
	QueueDelayMS    int64  `json:"queue_delay_ms"`
	ResidentsDigest uint64 `json:"residence"` // digest of the resident artifacts; the receiver queries them when it changes
	Cache           uint64 `json:"cache,omitempty"`
	FreeBytes       int64  `json:"free_bytes"`
	ConfigVersion   uint64 `json:"config_version"`
	NextMS          int64  `json:"next_ms"` // maximum time until the next report
}

// Offer announces the highest configuration version that the sender knows.
type Offer struct {
	Version uint64 `json:"version"`
}

// OfferReply returns the highest version that the receiver knows afterwards.
type OfferReply struct {
	Version uint64 `json:"version"`
}

// Fetch requests the configuration if the peer's version is higher than Since.
type Fetch struct {
	Since uint64 `json:"since"`
}

// FetchReply contains the deltas since the requested version, or the full
// configuration if they are not available. Both are empty if there is no newer
// version.
type FetchReply struct {
	Deltas        []config.Delta        `json:"deltas,omitempty"`
	Configuration *config.Configuration `json:"configuration,omitempty"`
}

// Fence fences an attempt: the side process must not start it from now on.
type Fence struct {
	Claim wire.Claim `json:"claim"`
}

// ActionReply is the reply to Fence and OutcomeQuery. Answer is set for
// idempotency.VerdictDone if it is still stored.
type ActionReply struct {
	Verdict idempotency.Verdict `json:"verdict"`
	Answer  *wire.Answer        `json:"answer,omitempty"`
}

// OutcomeQuery requests the outcome of an action. With attempt 0 and an empty
// incarnation in the claim, it covers all attempts of the key.
type OutcomeQuery struct {
	Claim wire.Claim `json:"claim"`
}

// OrderKind is the operation of an order, such as a load.
type OrderKind = engine.Verb

// Order is an order of a lease holder to a side process. The side process declines an
// order unless its fencing token, or its sequence number under the same token, is
// higher than that of every order already received for the shard.
type Order struct {
	Shard        string        `json:"cell"`
	FencingToken uint64        `json:"term"`
	Sequence     uint64        `json:"sequence"`
	TTL          time.Duration `json:"ttl"` // time to live after receipt, in ns
	Kind         OrderKind     `json:"kind"`
	Artifact     wire.Artifact `json:"artifact"`
	Role         engine.Role   `json:"role,omitempty"`
}

// OrderReply is the reply to an Order. Reason is set if it was not accepted.
type OrderReply struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// InventoryQuery requests the inventory of a side process.
type InventoryQuery struct {
	KnownDigest uint64 `json:"known,omitempty"` // digest of the Residents that the caller already has
}

// InventoryReply is the inventory of one backend server: its memory, the artifacts
// in it and the demand for them.
type InventoryReply struct {
	Identity        Identity          `json:"identity"`
	ResidentsDigest uint64            `json:"residence"` // digest of Residents
	Residents       []engine.Resident `json:"residents"`
	Unchanged       bool              `json:"unchanged,omitempty"` // Residents is omitted, as the caller has it already
	Pending         []engine.Resident `json:"pending,omitempty"`   // occupies memory but is not usable, as while loading
	MemoryBytes     int64             `json:"memory_bytes"`
	FreeBytes       int64             `json:"free_bytes"`
	FencingToken    uint64            `json:"fenced"` // highest fencing token seen
	EngineRole      engine.Role       `json:"engine_role"`
	Demand          []Demand          `json:"demand,omitempty"`
	ConfigVersion   uint64            `json:"config_version"`
}

// Demand is the accumulated demand for one artifact since the side process started.
type Demand struct {
	Artifact wire.Artifact `json:"artifact"`
	Requests uint64        `json:"requests"`
	Busy     time.Duration `json:"busy"` // engine time used by the requests, in ns
}

// For returns the reply to q. It omits the residents if the caller has them already.
func (r InventoryReply) For(q InventoryQuery) InventoryReply {
	if q.KnownDigest != 0 && q.KnownDigest == r.ResidentsDigest {
		r.Residents, r.Unchanged = nil, true
	}
	return r
}

// Drain requests that a side process accepts no new work.
type Drain struct{}

// DrainReply is sent immediately and contains the number of requests in progress.
type DrainReply struct {
	InFlight int `json:"in_flight"`
}
