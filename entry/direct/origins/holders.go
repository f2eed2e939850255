package origins

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// copies is the number of other entries that hold a copy of a record.
const copies = 2

// holders returns the n entries that hold the copies of a stream's record, by
// rendezvous hashing: removing one entry from names changes the result only by
// that entry.
func holders(s stream, names []string, n int) []string {
	ranked := slices.Clone(names)
	score := func(name string) uint64 { return xxhash.Sum64String(s.service + "\x00" + s.id + "\x00" + name) }
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return ranked[:min(n, len(ranked))]
}
