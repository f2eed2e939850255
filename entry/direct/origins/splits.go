package origins

import (
	"slices"
	"time"
)

// minSplitInterval is the least time between two splits of a service among the same versions,
// which follow from where its models are loaded.
const minSplitInterval = 10 * time.Second

// Progress says how far an entry is with the splits.
type Progress struct {
	// Ready is set once no client can resume a stream of an earlier process of the entry.
	Ready bool `json:"ready,omitempty"`
	// Adopted has, by service, the number of the split that the entry follows for new streams
	// while the records of all that it began before are in the store.
	Adopted map[string]int64 `json:"adopted,omitempty"`
}

// splitInputs is what the decision about the splits of a service depends on.
type splitInputs struct {
	splits     []Split       // of which streams may be in progress, the newest last
	newestAge  time.Duration // of the last of them, if there is one
	shares     []Share       // that the servers call for now
	nextNumber int64
	service    string

	own         Progress
	members     []string      // the other entries
	membersAge  time.Duration // since the list of them was read
	progress    map[string]Progress
	isConnected func(entry string) bool
}

// nextSplits returns the splits of a service that has several versions. Of two splits the earlier
// one is dropped once all entries have adopted the later: then each stream that began under the
// earlier one, and that the later one gives to another version, has its record in the store. A
// split is added only while all entries can adopt it.
func nextSplits(in splitInputs) []Split {
	n := len(in.splits)
	switch {
	case n > 1 && in.allAdopted(in.splits[n-1].Number):
		return in.splits[n-1:]
	case n > 1, len(in.shares) == 0:
		return in.splits
	case n == 1 && equalShares(in.splits[0].Shares, in.shares):
		return in.splits
	case n == 1 && in.newestAge < minSplitInterval && slices.Equal(versionsOf(in.splits[0].Shares), versionsOf(in.shares)):
		return in.splits
	case !in.allReady():
		return in.splits
	}
	next := Split{Number: in.nextNumber, Shares: in.shares}
	if n == 0 {
		return []Split{{}, next} // streams that began before it fall to no version
	}
	return append(slices.Clone(in.splits), next)
}

// versionsOf returns the software versions among which shares divide streams, in order.
func versionsOf(shares []Share) []string {
	var out []string
	for _, s := range shares {
		for software := range s.Weights {
			out = append(out, software)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// allAdopted reports whether all entries have adopted a split. The list of entries has to be
// newer than the split: an entry that starts later adopts it at once.
func (in *splitInputs) allAdopted(number int64) bool {
	if in.own.Adopted[in.service] < number || in.membersAge > in.newestAge {
		return false
	}
	return !slices.ContainsFunc(in.members, func(entry string) bool {
		return in.progress[entry].Adopted[in.service] < number
	})
}

// allReady reports whether all entries are known to be able to adopt a split soon.
func (in *splitInputs) allReady() bool {
	return in.own.Ready && !slices.ContainsFunc(in.members, func(entry string) bool {
		return !in.progress[entry].Ready || !in.isConnected(entry)
	})
}

// assigned returns the software version to which all of the splits give a stream. It returns ""
// if they differ or one does not cover the stream's model.
func assigned(splits []Split, artifact, id string) string {
	if len(splits) == 0 {
		return ""
	}
	software := splits[0].version(artifact, id)
	for i := range splits[1:] {
		if splits[1+i].version(artifact, id) != software {
			return ""
		}
	}
	return software
}
