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
func holders(s Stream, names []string, n int) []string {
	best := make([]candidate, 0, n+1)
	key := []byte(s.Service + "\x00" + s.ID + "\x00")
	prefix := len(key)
	for _, name := range names {
		key = append(key[:prefix], name...)
		c := candidate{name: name, score: xxhash.Sum64(key)}
		i, _ := slices.BinarySearchFunc(best, c, candidate.compare)
		best = slices.Insert(best, i, c)
		best = best[:min(n, len(best))]
	}
	out := make([]string, len(best))
	for i := range best {
		out[i] = best[i].name
	}
	return out
}

// candidate is an entry that may hold the copy of a record.
type candidate struct {
	name  string
	score uint64
}

// compare orders candidates by descending score.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.score, c.score), cmp.Compare(c.name, other.name))
}
