package fleet

import (
	"cmp"
	"slices"
)

// Merge returns the servers known after a reading of the registrations, in
// order of ID. A server whose registration cannot be read stays as it was
// known; one whose registration is missing is gone, unless keepMissing says
// that it may only have lapsed during an outage of the store.
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
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
