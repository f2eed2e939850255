package crashguard

import (
	"time"

	"peridotchute.example/common/decisionlog"
)

// Quarantined returns the number of quarantined parts.
func (g *Guard) Quarantined() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.list.Entries(time.Now()) {
		if e.Quarantined() {
			n++
		}
	}
	return n
}

// State is the guard's part of the state dump.
type State struct {
	Parts    []PartState `json:"parts"`
	Crashes  int         `json:"crashes"`  // remembered
	Suspects int         `json:"suspects"` // parts lost in a crash and not answered since
	Unsaved  int         `json:"unsaved"`  // parts whose rows are not written yet
	Missed   int64       `json:"missed"`   // lost requests whose server was not checked, for lack of room
}

// PartState is a part in the state dump.
type PartState struct {
	Part        string `json:"part"`
	Quarantined bool   `json:"quarantined"` // false if it was released
	RemainingMS int64  `json:"remaining_ms"`
}

// State returns the current state.
func (g *Guard) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := State{Parts: []PartState{}, Crashes: g.detector.Crashes(), Suspects: g.detector.Suspects(), Unsaved: len(g.unsaved), Missed: g.checker.missed.Load()}
	for _, e := range g.list.Entries(now) {
		s.Parts = append(s.Parts, PartState{
			Part:        decisionlog.FormatPart(e.Part),
			Quarantined: e.Quarantined(),
			RemainingMS: e.Until.Sub(now).Milliseconds(),
		})
	}
	return s
}
