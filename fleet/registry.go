package fleet

import (
	"cmp"
	"slices"
)

// Merge updates the known servers with newly read registrations and returns
// them ordered by ID. A server without a readable registration is dropped unless
// keep returns true for it.
func Merge(known []Server, read Registry, keep func(*Server) bool) []Server {
	out := slices.Clone(read.Servers)
	present := make(map[string]bool, len(out))
	for i := range out {
		present[out[i].ID] = true
	}
	for _, s := range known {
		if !present[s.ID] && keep(&s) {
			s.Kept = true
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
