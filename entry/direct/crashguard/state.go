package crashguard

import (
	"time"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/decisionlog"
)

// Quarantined returns the number of quarantined causes of a kind.
func (g *Guard) Quarantined(kind quarantine.Kind) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.list.Entries(time.Now()) {
		if e.Quarantined() && e.Cause.Kind == kind {
			n++
		}
	}
	return n
}

// State is the guard's part of the state dump.
type State struct {
	Parts    []PartState    `json:"parts"`
	Requests []RequestState `json:"requests"`
	Crashes  int            `json:"crashes"`  // remembered
	Suspects int            `json:"suspects"` // causes lost in a crash and not answered since
	Unsaved  int            `json:"unsaved"`  // causes whose rows are not written yet
	Missed   int64          `json:"missed"`   // lost requests whose server was not checked, for lack of room
}

// PartState is a part of prompts in the state dump.
type PartState struct {
	Part string `json:"part"`
	EntryTimes
}

// RequestState is a request in the state dump.
type RequestState struct {
	Digest string `json:"digest"`
	EntryTimes
}

// EntryTimes says until when something is quarantined.
type EntryTimes struct {
	Quarantined bool  `json:"quarantined"` // false if it was released
	RemainingMS int64 `json:"remaining_ms"`
}

// State returns the current state.
func (g *Guard) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := State{Parts: []PartState{}, Requests: []RequestState{}, Crashes: g.detector.Crashes(), Suspects: g.detector.Suspects(), Unsaved: len(g.unsaved), Missed: g.checker.missed.Load()}
	for _, e := range g.list.Entries(now) {
		times := EntryTimes{Quarantined: e.Quarantined(), RemainingMS: e.Until.Sub(now).Milliseconds()}
		if e.Cause.Kind == quarantine.WholeRequest {
			s.Requests = append(s.Requests, RequestState{Digest: decisionlog.FormatDigest(e.Cause.ID), EntryTimes: times})
			continue
		}
		s.Parts = append(s.Parts, PartState{Part: decisionlog.FormatPart(e.Cause.ID), EntryTimes: times})
	}
	return s
}
