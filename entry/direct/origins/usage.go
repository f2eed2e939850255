package origins

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// versionTTL is how long a version that left is remembered. It exceeds the time for which its
// streams may be resumed by the longest time for which an entry and servers that are cut off
// together go on with a list of before.
const versionTTL = 5 * time.Minute

// stage is how far a software version of a service has come in its use.
type stage string

// The stages, in order.
const (
	stageAnnounced stage = "announced" // it is registered and gets no streams yet
	stageSettled   stage = "settled"   // it gets streams
	stageLeft      stage = "left"      // it is not registered; its streams may still be resumed
)

// Usage is the content of the row of a service: the stages of its software versions.
type Usage struct {
	Service  string           `json:"service,omitempty"` // in messages
	Stages   map[string]stage `json:"stages"`
	Splits   []Split          `json:"splits,omitempty"` // of which streams may be in progress, the newest last
	Revision int64            `json:"revision"`         // counts the changes, also if the store came back from an older copy
	Row      string           `json:"row,omitempty"`    // version of the row in the store; in messages
}

// usage is what an entry knows of the row of a service. It is not safe for concurrent use.
type usage struct {
	stages   map[string]stage
	revision int64                // 0 until a row is known
	row      string               // version of the row in the store; empty if there is none
	stale    bool                 // the row in the store is of an earlier revision, or has other content
	since    map[string]time.Time // when this entry learned of a version's stage

	splits   []Split
	newestAt time.Time // when this entry learned of the last of splits
}

func newUsage() *usage { return &usage{stages: map[string]stage{}, since: map[string]time.Time{}} }

// apply takes over the content of a row or message, unless a later revision is known. stored
// says that the row in the store is as u says.
func (u *usage) apply(content Usage, stored bool, now time.Time) {
	if stored {
		u.row, u.stale = content.Row, content.Revision < u.revision
	}
	if content.Revision <= u.revision {
		u.keepUnknown(content, stored, now)
		return
	}
	since := map[string]time.Time{}
	for software, s := range content.Stages {
		since[software] = now
		if u.stages[software] == s {
			since[software] = u.since[software]
		}
	}
	u.stages, u.revision, u.row, u.since, u.stale = maps.Clone(content.Stages), content.Revision, content.Row, since, false
	u.applySplits(content.Splits, now)
}

// applySplits takes over the splits of a row of a later revision. If an earlier one than this
// entry's newest is the last of them, the store came back from an older copy.
func (u *usage) applySplits(splits []Split, now time.Time) {
	if known := u.newestSplit(); known > newestOf(splits) && len(u.stages) > 1 {
		splits = mergeSplits(splits, u.splits)
		u.stale = true
	}
	u.setSplits(splits, now)
}

func (u *usage) setSplits(splits []Split, now time.Time) {
	known := u.newestSplit()
	u.splits = splits
	if u.newestSplit() != known {
		u.newestAt = now
	}
}

// newestSplit returns the number of the split that new streams follow, 0 if there is none.
func (u *usage) newestSplit() int64 { return newestOf(u.splits) }

// division returns the split that new streams follow, and whether there is one. Until a second version
// is in the row, that is all streams at the first.
func (u *usage) division() (Split, bool) {
	if n := len(u.splits); n > 0 {
		return u.splits[n-1], true
	}
	if len(u.stages) == 1 && u.revision > 0 {
		for software, s := range u.stages {
			return Split{Only: software}, s == stageSettled
		}
	}
	return Split{}, false
}

// live returns the splits of which streams may be in progress.
func (u *usage) live() []Split {
	if division, found := u.division(); found && len(u.splits) == 0 {
		return []Split{division}
	}
	return u.splits
}

func newestOf(splits []Split) int64 {
	if len(splits) == 0 {
		return 0
	}
	return splits[len(splits)-1].Number
}

func equalSplits(a, b []Split) bool {
	return slices.EqualFunc(a, b, func(x, y Split) bool { return x.Number == y.Number })
}

// mergeSplits returns the splits of two rows in order.
func mergeSplits(a, b []Split) []Split {
	out := slices.Clone(a)
	for _, s := range b {
		if !slices.ContainsFunc(out, func(known Split) bool { return known.Number == s.Number }) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(x, y Split) int { return cmp.Compare(x.Number, y.Number) })
	return out
}

// keepUnknown adds versions that only a row of no later revision has: the store came back from
// an older copy, and another entry wrote the row since.
func (u *usage) keepUnknown(content Usage, stored bool, now time.Time) {
	if !stored || maps.Equal(content.Stages, u.stages) && equalSplits(content.Splits, u.splits) {
		return
	}
	u.stale = true
	u.setSplits(mergeSplits(u.splits, content.Splits), now)
	for software, s := range content.Stages {
		if _, known := u.stages[software]; !known {
			u.stages[software], u.since[software] = s, now
		}
	}
}

// lost records that the store has no row, or one that cannot be read, with the given version.
// What is known is written again; a version that is not known has to be announced.
func (u *usage) lost(row string) {
	u.row, u.stale = row, true
	if row != "" {
		u.revision = max(u.revision, 1)
	}
}

// message returns the content in the form for messages.
func (u *usage) message(service string) Usage {
	return Usage{Service: service, Stages: maps.Clone(u.stages), Splits: u.splits, Revision: u.revision, Row: u.row}
}

// current reports whether the store has what this entry knows.
func (u *usage) current() bool { return u.row != "" && !u.stale }

// settled reports whether the version may get streams. seen is when this entry first
// saw it registered.
func (u *usage) settled(software string, seen, now time.Time) bool {
	switch u.stages[software] {
	case stageSettled:
		return true
	case stageAnnounced:
		return now.Sub(seen) >= settleTime
	}
	return now.Sub(seen) >= announceTimeout
}

// next returns the stages that the row should have, given the registered versions and those
// that were registered lately, and whether the row has to be written. Versions are taken for gone only if
// the list of registered ones is fresh.
func (u *usage) next(registered, recent []string, fresh bool, now time.Time) (map[string]stage, bool) {
	stages := maps.Clone(u.stages)
	for _, software := range registered {
		stages[software] = u.nextStage(software, registered, now)
	}
	for _, software := range recent {
		if _, known := stages[software]; !known {
			stages[software] = stageLeft
		}
	}
	for software, s := range u.stages {
		if !fresh || slices.Contains(registered, software) {
			continue
		}
		stages[software] = stageLeft
		if s == stageLeft && now.Sub(u.since[software]) >= versionTTL && !slices.Contains(recent, software) {
			delete(stages, software)
		}
	}
	return stages, u.stale || !maps.Equal(stages, u.stages)
}

// nextStage returns the stage that a registered version should have. One that comes back is
// announced again: other entries may not have heard of it. The versions of the first row settle at once, as no
// entry has sent streams to any other, and so does one that comes back and is the only one.
func (u *usage) nextStage(software string, registered []string, now time.Time) stage {
	s, known := u.stages[software]
	switch {
	case u.revision == 0, known && len(u.stages) == 1 && len(registered) == 1:
		return stageSettled
	case !known || s == stageLeft:
		return stageAnnounced
	case s == stageAnnounced && now.Sub(u.since[software]) < settleTime:
		return stageAnnounced
	}
	return stageSettled
}
