package quotas

import (
	"slices"
	"time"

	"peridotchute.example/membership"
)

const (
	// poolKey is the key for which rendezvous hashing chooses the pool.
	poolKey = "quotas"

	// leastPoolShare is the least processor of a pool as a share of the strongest entry's.
	leastPoolShare = 0.5

	// avoidFor is how long an entry that did not answer is not chosen again.
	avoidFor = 2 * time.Second
)

// poolOf chooses the pool among the entries in reach: one of those with much processor, the same
// at all entries that reach the same ones. avoided are entries that did not answer lately.
func poolOf(candidates []Candidate, avoided func(name string) bool) string {
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return avoided(c.Name) })
	strongest := 0.0
	for _, c := range usable {
		strongest = max(strongest, c.Processor)
	}
	var names []string
	for _, c := range usable {
		if c.Processor >= leastPoolShare*strongest {
			names = append(names, c.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return membership.Rendezvous(poolKey, names, 1)[0]
}
