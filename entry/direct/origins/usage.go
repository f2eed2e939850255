package origins

import (
	"maps"
	"slices"
	"time"
)

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
	Service string           `json:"service"`
	Stages  map[string]stage `json:"stages"`
	Row     int64            `json:"row"` // version of the row in the store
}

// usage is what an entry knows of the row of a service. It is not safe for concurrent use.
type usage struct {
	stages map[string]stage
	row    int64                // version of the row in the store; 0 if there is none
	since  map[string]time.Time // when this entry learned of a version's stage
}

func newUsage() *usage { return &usage{stages: map[string]stage{}, since: map[string]time.Time{}} }

// apply replaces the content.
func (u *usage) apply(stages map[string]stage, row int64, now time.Time) {
	since := map[string]time.Time{}
	for software, s := range stages {
		since[software] = now
		if u.stages[software] == s {
			since[software] = u.since[software]
		}
	}
	u.stages, u.row, u.since = maps.Clone(stages), row, since
}

// settled reports whether the version may get streams. seen is when this entry first
// saw it registered.
func (u *usage) settled(software string, seen, now time.Time) bool {
	switch s, known := u.stages[software]; {
	case known && s != stageAnnounced:
		return true
	case known:
		return now.Sub(seen) >= settleTime
	}
	return now.Sub(seen) >= announceTimeout
}

// next returns the stages that the row should have, given the registered versions, and
// whether they differ from those that it has. Versions are taken for gone only if the list
// of registered ones is fresh.
func (u *usage) next(registered []string, fresh bool, now time.Time) (map[string]stage, bool) {
	stages := maps.Clone(u.stages)
	for _, software := range registered {
		stages[software] = u.nextStage(software, now)
	}
	for software, s := range u.stages {
		if !fresh || slices.Contains(registered, software) {
			continue
		}
		stages[software] = stageLeft
		if s == stageLeft && now.Sub(u.since[software]) >= recordTTL {
			delete(stages, software)
		}
	}
	return stages, !maps.Equal(stages, u.stages)
}

// nextStage returns the stage that a registered version should have. The versions of the
// first row settle at once, as no entry has sent streams to any other.
func (u *usage) nextStage(software string, now time.Time) stage {
	s, known := u.stages[software]
	switch {
	case u.row == 0:
		return stageSettled
	case !known:
		return stageAnnounced
	case s == stageAnnounced && now.Sub(u.since[software]) < settleTime:
		return stageAnnounced
	}
	return stageSettled
}
