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
	MethodResidence = "member.residence"
	MethodOffer     = "config.offer"
	MethodFetch     = "config.fetch"
	MethodBar       = "action.bar"
	MethodOutcome   = "action.outcome"
	MethodOrder     = "order.submit"
	MethodInventory = "inventory.get"
	MethodDrain     = "drain.begin"
)

// Role is what a process is.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry"
	RoleSide  Role = "side"
)

// Identity is how a process presents itself.
type Identity struct {
	Name        string `json:"name"`        // of its VM
	Incarnation string `json:"incarnation"` // new at every start
	Role        Role   `json:"role"`
	Zone        string `json:"zone"`
	Region      string `json:"region,omitempty"`
	Pool        string `json:"pool,omitempty"`
	DataAddress string `json:"data_address,omitempty"`
	RPCAddress  string `json:"rpc_address,omitempty"`
}

// Hello opens a connection. Key is the deployment key.
type Hello struct {
	Identity      Identity `json:"identity"`
	Key           string   `json:"key"`
	ConfigVersion uint64   `json:"config_version"`
	Servers       int      `json:"servers,omitempty"` // backend servers that the sender knows; 0 when it does not count them
}

// HelloReply answers Hello. Key proves that the listener knows it as well.
type HelloReply struct {
	Identity      Identity `json:"identity"`
	Key           string   `json:"key"`
	ConfigVersion uint64   `json:"config_version"`
}

// State is a side process's willingness to serve.
type State string

// The states of a side process.
const (
	StateServing  State = "serving"
	StateDraining State = "draining" // finishes its work, takes no more
)

// Report is the periodic load report of a side process.
type Report struct {
	Name          string `json:"name"`
	Incarnation   string `json:"incarnation"`
	Seq           uint64 `json:"seq"` // counts from 1 in each incarnation
	State         State  `json:"state"`
	InFlight      int    `json:"in_flight"`
	QueueDelayMS  int64  `json:"queue_delay_ms"`
	Residence     uint64 `json:"residence"` // digest of what is resident; fetch the inventory when it changes
	Cache         uint64 `json:"cache,omitempty"`
	FreeBytes     int64  `json:"free_bytes"`
	ConfigVersion uint64 `json:"config_version"`
	NextMS        int64  `json:"next_ms"` // the next report comes within this time
}

// Offer tells the highest configuration version that a peer knows.
type Offer struct {
	Version uint64 `json:"version"`
}

// OfferReply tells the receiver's own highest version.
type OfferReply struct {
	Version uint64 `json:"version"`
}

// Fetch asks for the configuration when the peer's is higher than Since.
type Fetch struct {
	Since uint64 `json:"since"`
}

// FetchReply carries the changes since the version asked for, or the whole
// configuration when they are not known, or neither when there is nothing newer.
type FetchReply struct {
	Deltas        []config.Delta        `json:"deltas,omitempty"`
	Configuration *config.Configuration `json:"configuration,omitempty"`
}

// Bar asks a side process never to start an attempt.
type Bar struct {
	Claim wire.Claim `json:"claim"`
}

// ActionReply answers Bar and OutcomeQuery. Answer is set for
// idempotency.VerdictDone unless it is no longer kept.
type ActionReply struct {
	Verdict idempotency.Verdict `json:"verdict"`
	Answer  *wire.Answer        `json:"answer,omitempty"`
}

// OutcomeQuery asks what became of an action. A claim with attempt 0 and no
// incarnation asks for any attempt of the key.
type OutcomeQuery struct {
	Claim wire.Claim `json:"claim"`
}

// OrderKind is what an order changes.
type OrderKind = engine.Verb

// Order is a plan holder's order to a side process. A side process refuses a
// term or sequence lower than one it has already seen for the same cell.
type Order struct {
	Cell     string        `json:"cell"`
	Term     uint64        `json:"term"`
	Sequence uint64        `json:"sequence"`
	TTL      time.Duration `json:"ttl"` // from receipt, ns
	Kind     OrderKind     `json:"kind"`
	Artifact wire.Artifact `json:"artifact"`
	Role     engine.Role   `json:"role,omitempty"`
}

// OrderReply says whether an order was taken, and why not.
type OrderReply struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
}

// InventoryQuery asks for the ledger's view.
type InventoryQuery struct {
	Known uint64 `json:"known,omitempty"` // digest of the residents that the asker has
}

// InventoryReply is the ledger's view of one backend server.
type InventoryReply struct {
	Identity      Identity          `json:"identity"`
	Residence     uint64            `json:"residence"` // digest of Residents
	Residents     []engine.Resident `json:"residents"`
	Unchanged     bool              `json:"unchanged,omitempty"` // the residents are those known, and left out
	Pending       []engine.Resident `json:"pending,omitempty"`   // reserved, not confirmed
	MemoryBytes   int64             `json:"memory_bytes"`
	FreeBytes     int64             `json:"free_bytes"`
	Fenced        uint64            `json:"fenced"` // highest term seen
	EngineRole    engine.Role       `json:"engine_role"`
	Demand        []Demand          `json:"demand,omitempty"`
	ConfigVersion uint64            `json:"config_version"`
}

// Demand is what was asked of one artifact since the side process started.
type Demand struct {
	Artifact wire.Artifact `json:"artifact"`
	Requests uint64        `json:"requests"`
	Busy     time.Duration `json:"busy"` // share of the engine that they took, ns
}

// For returns the reply as the query wants it: without the residents when the
// asker has them.
func (r InventoryReply) For(q InventoryQuery) InventoryReply {
	if q.Known != 0 && q.Known == r.Residence {
		r.Residents, r.Unchanged = nil, true
	}
	return r
}

// Drain asks a side process to take no new work.
type Drain struct{}

// DrainReply answers when nothing is in progress any more.
type DrainReply struct {
	InFlight int `json:"in_flight"`
}
