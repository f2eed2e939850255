package fleet

import (
	"cmp"
	"slices"
)

// Merge updates the known servers with newly read registrations and returns
// them ordered by ID. A server without a registration is dropped unless keep
// returns true for it. A server whose registration is unreadable is always
// dropped: nothing is known of it anymore, not even that it drains, and it writes
// its row again with its next heartbeat.
func Merge(known []Server, read Registry, keep func(*Server) bool) []Server {
	out := slices.Clone(read.Servers)
	inRows := make(map[string]bool, len(out)+len(read.Unreadable))
	for i := range out {
		inRows[out[i].ID] = true
	}
	for _, id := range read.Unreadable {
		inRows[id] = true
	}
	for _, s := range known {
		if !inRows[s.ID] && keep(&s) {
			s.Kept = true
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
