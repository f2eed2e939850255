package origins

import (
	"slices"
	"time"
)

const (
	// minSplitInterval is the least time between two splits of a service among the same versions,
	// which follow from where its models are loaded.
	minSplitInterval = 10 * time.Second

	// maxReadinessWait is how long a split that is wanted waits for all entries to be ready. It
	// exceeds the times after which an entry that was restarted, or is out of reach, holds nothing up.
	maxReadinessWait = 80 * time.Second
)

// Progress says how far an entry is with the splits.
type Progress struct {
	// Ready is set once no client can resume a stream of an earlier process of the entry.
	Ready bool `json:"ready,omitempty"`
	// Adopted has, by service, the number of the split that the process follows for new streams
	// while the records of all that it began before are in the store.
	Adopted map[string]int64 `json:"adopted,omitempty"`
}

// splitInputs is what the decision about the splits of a service depends on.
type splitInputs struct {
	now        time.Time
	service    string
	before     map[string]stage // of the versions in the row as it is
	stages     map[string]stage // that they should have
	servers    map[string]int   // number of the registered servers, by version
	splits     []Split          // of which streams may be in progress, the newest last
	wentBack   bool             // the store came back from an older copy, and may have lost records
	newestAge  time.Duration    // of the last of them, if there is one
	shares     []Share          // that the servers call for now
	nextNumber int64
	waited     time.Duration // for all entries to be ready

	own         Progress
	members     []string      // the other entries
	membersAge  time.Duration // since the list of them was read
	progress    map[string]*entryProgress
	isConnected func(entry string) bool
}

// Invariant: while a service has several versions its row has a split. Each stream that has brought
// an event, and can be resumed, either has its record in the store or is at the version that one of
// the splits in the row gives to it.

// nextSplits returns the splits of a service that has several versions, and what holds a change of
// them up. Of two splits the earlier one is dropped once all entries have adopted the later: then
// each stream that began under the earlier one, and that the later one gives to another version, has
// its record in the store.
//
// A split is added once all entries can adopt it soon, since a stream without a record is refused
// while two splits differ on it. Until then the earlier one serves: streams of other versions need
// records, and all can be resumed.
func nextSplits(in splitInputs) ([]Split, splitWait) {
	n := len(in.splits)
	if n == 0 {
		return []Split{in.firstSplit()}, splitWait{}
	}
	newest := &in.splits[n-1]
	if in.wentBack {
		return in.splitsAfterLoss(newest), splitWait{}
	}
	if n > 1 {
		wait := in.adoption(newest.Number)
		if wait.over() {
			return in.splits[n-1:], wait
		}
		return in.splits, wait
	}
	if !in.wantsOther(newest) {
		return in.splits, splitWait{}
	}
	if wait := in.readiness(); !wait.over() && !in.isUrgent(newest) {
		return in.splits, wait
	}
	return append(slices.Clone(in.splits), Split{Number: in.nextNumber, Shares: in.shares}), splitWait{}
}

// splitsAfterLoss returns the newest split beside one that covers nothing, until all entries have
// stored their records again.
func (in *splitInputs) splitsAfterLoss(newest *Split) []Split {
	again := *newest
	again.Number = in.nextNumber
	return []Split{{}, again}
}

// wantsOther reports whether the servers call for another split than the newest.
func (in *splitInputs) wantsOther(newest *Split) bool {
	wanted := versionsOf(in.shares)
	sameVersions := slices.Equal(newest.versions(), wanted)
	switch {
	case len(wanted) == 0:
		return false
	case newest.Only != "":
		return !sameVersions
	case equalShares(newest.Shares, in.shares):
		return false
	}
	return !sameVersions || in.newestAge >= minSplitInterval
}

// isUrgent reports whether a split must not wait for all entries to be ready: the newest covers
// nothing or gives streams only to versions that get none any more, or one entry after the other is
// not ready.
func (in *splitInputs) isUrgent(newest *Split) bool {
	getsStreams := func(software string) bool { return in.stages[software] == stageSettled }
	return newest.coversNothing() || !slices.ContainsFunc(newest.versions(), getsStreams) || in.waited >= maxReadinessWait
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
	if !in.own.Ready {
		wait.add(thisEntry, holdupRestarted)
	}
	if in.membersAge > in.newestAge {
		wait.add(thisEntry, holdupOldList)
	}
	for _, entry := range in.members {
		if !in.hasAdopted(entry, number) {
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
		if p := in.progress[entry]; p == nil || !p.ready || !in.isConnected(entry) {
			wait.add(entry, in.holdup(entry, holdupRestarted))
		}
	}
	return wait
}

// hasAdopted reports whether another entry has adopted a split.
func (in *splitInputs) hasAdopted(entry string, number int64) bool {
	p := in.progress[entry]
	return p != nil && p.adopted[in.service].complete(number, in.now)
}

// holdup returns why an entry that is in reach, and has told its progress, holds a change up, or
// that it is not or has not.
func (in *splitInputs) holdup(entry string, otherwise holdup) holdup {
	if !in.isConnected(entry) {
		return holdupNotConnected
	}
	p := in.progress[entry]
	switch {
	case p == nil:
		return holdupNotTold
	case !p.ready:
		return holdupRestarted
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
