package mesh

import "peridotchute.example/rpc"

// Methods of the mesh itself.
const (
	methodUpdate   = "mesh.update" // notification, in order
	methodDocument = "mesh.document"
)

// Identity is an entry as its row and its peers describe it.
type Identity struct {
	Name        string `json:"name"` // of its VM
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"` // IP:port of control calls
	Zone        string `json:"zone"`
	Region      string `json:"region"`
}

func (id Identity) rpc() rpc.Identity {
	return rpc.Identity{
		Name: id.Name, Incarnation: id.Incarnation, Role: rpc.RoleEntry,
		Zone: id.Zone, Region: id.Region, RPCAddress: id.Address,
	}
}

func identityOf(id rpc.Identity) Identity {
	return Identity{Name: id.Name, Incarnation: id.Incarnation, Address: id.RPCAddress, Zone: id.Zone, Region: id.Region}
}

// update tells a peer what has changed since the last update on the same
// connection. An empty one is a heartbeat. Field names are short because
// entries of other regions get it several times a second.
type update struct {
	NextMS  int64               `json:"e,omitempty"` // longest time to the next update, when it has changed
	Servers map[string]int      `json:"n,omitempty"` // indexes of server IDs in Load and Gone
	Load    [][4]int            `json:"l,omitempty"` // index, requests, tokens to prefill, tokens in memory
	Gone    []int               `json:"g,omitempty"` // indexes that have no load and may mean another server later
	Joined  []Identity          `json:"j,omitempty"` // entries that the sender is connected to
	Left    []string            `json:"x,omitempty"` // entries that it is no longer connected to
	Held    map[string]heldNote `json:"d,omitempty"` // documents by kind
}

func (u *update) empty() bool {
	return u.NextMS == 0 && len(u.Servers) == 0 && len(u.Load) == 0 && len(u.Gone) == 0 &&
		len(u.Joined) == 0 && len(u.Left) == 0 && len(u.Held) == 0
}

// heldNote tells which version of a document the sender holds, and how old it is.
type heldNote struct {
	Version int64 `json:"v"`
	AgeMS   int64 `json:"a"`
}

// documentQuery asks for a document. Sum is the digest of the asker's body.
type documentQuery struct {
	Kind string `json:"kind"`
	Sum  uint64 `json:"sum,omitempty"`
}

// documentReply carries a document, without its body when the asker has the same.
type documentReply struct {
	Version int64  `json:"version"`
	AgeMS   int64  `json:"age_ms"`
	Same    bool   `json:"same,omitempty"`
	Body    []byte `json:"body,omitempty"`
}
