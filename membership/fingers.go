package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingers returns the members to which self connects: those at distance 1, 2, 4
// and so on in the ring of all names, ordered by hash. Every member can then reach
// every other over at most log2(n) connections, and the ring stays connected even
// if most connections end at once.
func Fingers(self string, names []string) []string {
	ring := make([]string, 0, len(names)+1)
	for _, name := range names {
		if name != self {
			ring = append(ring, name)
		}
	}
	ring = append(ring, self)
	slices.SortFunc(ring, compareByHash)
	ring = slices.Compact(ring)
	at := slices.Index(ring, self)
	var out []string
	for distance := 1; distance < len(ring); distance *= 2 {
		out = append(out, ring[(at+distance)%len(ring)])
	}
	return out
}

func compareByHash(a, b string) int {
	x, y := xxhash.Sum64String(a), xxhash.Sum64String(b)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}
