package routing

// maxServersPerBlock is the maximum number of servers in the index per block.
const maxServersPerBlock = 3

// PrefixIndex records which servers were sent which prompt blocks, so that a
// prompt that continues an earlier one goes to a server that has it cached. A
// block is given as a hash chained over all preceding blocks. Blocks are evicted
// in the order in which they were added. PrefixIndex is not safe for concurrent
// use.
type PrefixIndex struct {
	capacity int
	blocks   map[uint64]*blockServers
	order    []uint64 // ring of the blocks, oldest at next
	next     int
}

// blockServers holds the servers that were sent a block.
type blockServers struct {
	names [maxServersPerBlock]string // newest first
}

// NewPrefixIndex returns an empty index with a capacity in blocks, at least 1.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{capacity: max(capacity, 1), blocks: map[uint64]*blockServers{}}
}

// Add records that a server has the blocks cached.
func (x *PrefixIndex) Add(server string, blocks []uint64) {
	for _, b := range blocks {
		servers, ok := x.blocks[b]
		if !ok {
			servers = &blockServers{}
			x.blocks[b] = servers
			x.addBlock(b)
		}
		servers.add(server)
	}
}

// addBlock adds a block to the ring and evicts the oldest one if it is full.
func (x *PrefixIndex) addBlock(b uint64) {
	if len(x.order) < x.capacity {
		x.order = append(x.order, b)
		return
	}
	delete(x.blocks, x.order[x.next])
	x.order[x.next] = b
	x.next = (x.next + 1) % x.capacity
}

// add makes a server the newest one; it replaces the oldest one if there are
// too many.
func (b *blockServers) add(server string) {
	at := 0
	for at < maxServersPerBlock-1 && b.names[at] != server {
		at++
	}
	copy(b.names[1:at+1], b.names[:at])
	b.names[0] = server
}

// Drop removes a server from all blocks, for instance after its restart.
func (x *PrefixIndex) Drop(server string) {
	for _, servers := range x.blocks {
		remaining := blockServers{}
		n := 0
		for _, name := range servers.names {
			if name != server {
				remaining.names[n] = name
				n++
			}
		}
		*servers = remaining
	}
}

// Match returns the servers that have leading blocks cached and how many, longest
// prefixes first. The result is valid until the next call of Add or Drop.
func (x *PrefixIndex) Match(blocks []uint64) []Match {
	var out []Match
	for i := len(blocks) - 1; i >= 0; i-- {
		servers, ok := x.blocks[blocks[i]]
		if !ok {
			continue
		}
		for _, name := range servers.names {
			if name != "" && !containsServer(out, name) {
				out = append(out, Match{Server: name, Blocks: i + 1})
			}
		}
	}
	return out
}

// Match is a server and the number of leading blocks of a prompt that it has
// cached.
type Match struct {
	Server string
	Blocks int
}

func containsServer(list []Match, server string) bool {
	for _, m := range list {
		if m.Server == server {
			return true
		}
	}
	return false
}
