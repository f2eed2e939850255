package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rendezvous returns the n names that are chosen for a key by rendezvous hashing: removing
// one name changes the result only by that name.
func Rendezvous(key string, names []string, n int) []string {
	best := make([]candidate, 0, n+1)
	hashed := append([]byte(key), 0)
	prefix := len(hashed)
	for _, name := range names {
		hashed = append(hashed[:prefix], name...)
		c := candidate{name: name, score: xxhash.Sum64(hashed)}
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

// candidate is a name with its score for a key.
type candidate struct {
	name  string
	score uint64
}

// compare orders candidates by descending score.
func (c candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(other.score, c.score), cmp.Compare(c.name, other.name))
}
