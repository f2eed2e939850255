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

// nextSplits returns the splits of a service that has several versions, and what holds a change of
// them up. Of two splits the earlier one is dropped once all entries have adopted the later: then
// each stream that began under the earlier one, and that the later one gives to another version, has
// its record in the store. A split is added only while all entries can adopt it.
func nextSplits(in splitInputs) ([]Split, splitWait) {
	n := len(in.splits)
	if n > 1 {
		wait := in.adoption(in.splits[n-1].Number)
		if wait.over() {
			return in.splits[n-1:], wait
		}
		return in.splits, wait
	}
	switch {
	case len(in.shares) == 0:
		return in.splits, splitWait{}
	case n == 1 && equalShares(in.splits[0].Shares, in.shares):
		return in.splits, splitWait{}
	case n == 1 && in.newestAge < minSplitInterval && slices.Equal(versionsOf(in.splits[0].Shares), versionsOf(in.shares)):
		return in.splits, splitWait{}
	}
	if wait := in.readiness(); !wait.over() {
		return in.splits, wait
	}
	next := Split{Number: in.nextNumber, Shares: in.shares}
	if n == 0 {
		return []Split{{}, next}, splitWait{} // streams that began before it fall to no version
	}
	return append(slices.Clone(in.splits), next), splitWait{}
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

// adoption returns which entries have not adopted a split. The list of entries has to be
// newer than the split: an entry that starts later adopts it at once.
func (in *splitInputs) adoption(number int64) splitWait {
	wait := splitWait{For: waitAdoption}
	if in.own.Adopted[in.service] < number {
		wait.add(thisEntry, holdupNotAdopted)
	}
	if in.membersAge > in.newestAge {
		wait.add(thisEntry, holdupOldList)
	}
	for _, entry := range in.members {
		if in.progress[entry].Adopted[in.service] < number {
			wait.add(entry, in.holdup(entry, holdupNotAdopted))
		}
	}
	return wait
}

// readiness returns which entries are not known to be able to adopt a split soon.
func (in *splitInputs) readiness() splitWait {
	wait := splitWait{For: waitReadiness}
	if !in.own.Ready {
		wait.add(thisEntry, holdupRestarted)
	}
	for _, entry := range in.members {
		if !in.progress[entry].Ready || !in.isConnected(entry) {
			wait.add(entry, in.holdup(entry, holdupRestarted))
		}
	}
	return wait
}

// holdup returns why an entry that is in reach, and has told its progress, holds a change up, or
// that it is not or has not.
func (in *splitInputs) holdup(entry string, otherwise holdup) holdup {
	if !in.isConnected(entry) {
		return holdupNotConnected
	}
	if _, told := in.progress[entry]; !told {
		return holdupNotTold
	}
	return otherwise
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
