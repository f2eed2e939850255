package routing

// holdersKept is how many servers are remembered for one block.
const holdersKept = 3

// PrefixIndex remembers which servers were sent which prompt blocks, so that a
// prompt that continues an earlier one finds its cache. The block forgotten
// first is the one added first. It is not safe for concurrent use.
type PrefixIndex struct {
	capacity int
	blocks   map[uint64]*holders
	order    []uint64 // ring of the blocks, oldest at next
	next     int
}

type holders struct {
	names [holdersKept]string // newest first
}

// NewPrefixIndex returns an index of at most capacity blocks.
func NewPrefixIndex(capacity int) *PrefixIndex {
	return &PrefixIndex{capacity: max(capacity, 1), blocks: map[uint64]*holders{}}
}

// Add remembers that a server holds the blocks.
func (x *PrefixIndex) Add(server string, blocks []uint64) {
	for _, b := range blocks {
		h, ok := x.blocks[b]
		if !ok {
			h = &holders{}
			x.blocks[b] = h
			x.remember(b)
		}
		h.add(server)
	}
}

func (x *PrefixIndex) remember(b uint64) {
	if len(x.order) < x.capacity {
		x.order = append(x.order, b)
		return
	}
	delete(x.blocks, x.order[x.next])
	x.order[x.next] = b
	x.next = (x.next + 1) % x.capacity
}

func (h *holders) add(server string) {
	at := 0
	for at < holdersKept-1 && h.names[at] != server {
		at++
	}
	copy(h.names[1:at+1], h.names[:at])
	h.names[0] = server
}

// Drop forgets what a server holds, for instance after its restart.
func (x *PrefixIndex) Drop(server string) {
	for _, h := range x.blocks {
		kept := holders{}
		n := 0
		for _, name := range h.names {
			if name != server {
				kept.names[n] = name
				n++
			}
		}
		*h = kept
	}
}

// Match returns how many leading blocks each server is remembered to hold.
// The result is valid until the next call of Add or Drop.
func (x *PrefixIndex) Match(blocks []uint64) []Match {
	var out []Match
	for i := len(blocks) - 1; i >= 0; i-- {
		h, ok := x.blocks[blocks[i]]
		if !ok {
			continue
		}
		for _, name := range h.names {
			if name != "" && !matched(out, name) {
				out = append(out, Match{Server: name, Blocks: i + 1})
			}
		}
	}
	return out
}

// Match is a server with the leading blocks of a prompt that it holds.
type Match struct {
	Server string
	Blocks int
}

func matched(list []Match, server string) bool {
	for _, m := range list {
		if m.Server == server {
			return true
		}
	}
	return false
}
