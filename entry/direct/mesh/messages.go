package mesh

import "peridotchute.example/rpc"

// Methods of the mesh itself.
const (
	methodUpdate   = "mesh.update" // notification, handled in order
	methodDocument = "mesh.document"
)

// Identity identifies an entry in rows and gossip.
type Identity struct {
	Name        string `json:"name"` // VM name
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"` // IP:port for control connections
	Zone        string `json:"zone"`
	Region      string `json:"region"`

	Processor float64 `json:"processor,omitempty"` // of the VM, in cores of usual speed; 0 if unknown
}

func (id Identity) rpc() rpc.Identity {
	return rpc.Identity{
		Name: id.Name, Incarnation: id.Incarnation, Role: rpc.RoleEntry,
		Zone: id.Zone, Region: id.Region, RPCAddress: id.Address,
		Processor: id.Processor,
	}
}

func identityOf(id rpc.Identity) Identity {
	return Identity{Name: id.Name, Incarnation: id.Incarnation, Address: id.RPCAddress, Zone: id.Zone, Region: id.Region, Processor: id.Processor}
}

// update carries the changes since the previous update on the same connection.
// An empty update is a heartbeat. JSON names are short because updates are sent
// to other regions several times a second.
type update struct {
	NextMS    int64                      `json:"e,omitempty"` // new maximum interval between updates; 0 if unchanged
	Servers   map[string]int             `json:"n,omitempty"` // indexes newly assigned to server IDs
	Load      [][4]int                   `json:"l,omitempty"` // per server: index, requests, prefill time in ms, tokens in memory
	Removed   []int                      `json:"g,omitempty"` // indexes without load, which may be reassigned later
	Joined    []Identity                 `json:"j,omitempty"` // entries to which the sender has connected
	Left      []string                   `json:"x,omitempty"` // entries from which the sender has disconnected
	Documents map[string]documentVersion `json:"d,omitempty"` // versions of the sender's documents, by kind

	Aggregator string `json:"a,omitempty"` // name of the sender's aggregator; empty if unchanged
}

func (u *update) empty() bool {
	return u.NextMS == 0 && len(u.Servers) == 0 && len(u.Load) == 0 && len(u.Removed) == 0 &&
		len(u.Joined) == 0 && len(u.Left) == 0 && len(u.Documents) == 0 && u.Aggregator == ""
}

// documentVersion is the version and age of a document that the sender has.
type documentVersion struct {
	Version int64 `json:"v"`
	AgeMS   int64 `json:"a"`
}

// documentQuery requests a document. Sum is the digest of the body that the
// requester already has, or 0.
type documentQuery struct {
	Kind string `json:"kind"`
	Sum  uint64 `json:"sum,omitempty"`
}

// documentReply carries a document. If Same is set, the requester already has
// the same body and Body is empty.
type documentReply struct {
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms"`
	Same    bool   `json:"same,omitempty"`
	Body    []byte `json:"body,omitempty"`
}
