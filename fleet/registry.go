package fleet

import (
	"cmp"
	"slices"
)

// Merge updates the known servers with newly read registrations and returns
// them ordered by ID. A server whose registration is unreadable keeps its known
// value. A server without a registration is dropped unless keepMissing is set,
// because registrations may have expired during a store outage.
func Merge(known []Server, read Registry, keepMissing bool) []Server {
	out := slices.Clone(read.Servers)
	present := make(map[string]bool, len(out))
	for i := range out {
		present[out[i].ID] = true
	}
	unreadable := make(map[string]bool, len(read.Unreadable))
	for _, id := range read.Unreadable {
		unreadable[id] = true
	}
	for _, s := range known {
		if !present[s.ID] && (keepMissing || unreadable[s.ID]) {
			s.Kept = true
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
