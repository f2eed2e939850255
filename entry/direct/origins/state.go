package origins

import (
	"maps"
	"time"
)

// State is the registry's part of the state dump.
type State struct {
	Records   int                         `json:"records"`
	Pending   int                         `json:"pending"`             // records to copy to other entries
	Unsaved   int                         `json:"unsaved"`             // records to write to the store
	Versions  map[string][]string         `json:"versions"`            // software versions in use lately, by service
	Stages    map[string]map[string]stage `json:"stages"`              // of the versions, by service, as in the store
	Splits    map[string][]Split          `json:"splits,omitempty"`    // those of which streams may be in progress, by service
	Adopted   map[string]int64            `json:"adopted,omitempty"`   // number of the split that this entry has adopted, by service
	Waits     map[string]splitWait        `json:"waits,omitempty"`     // what holds a change of the splits up, by service, if this entry writes its row
	Held      int                         `json:"held,omitempty"`      // streams whose first event waits for its record to be stored
	Unsettled map[string][]string         `json:"unsettled,omitempty"` // versions that may not get streams yet, by service
	Certain   map[string]bool             `json:"certain"`             // whether other versions can be ruled out, by service
	ListAgeMS int64                       `json:"list_age_ms"`
}

// State returns the current state.
func (g *Registry) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := State{
		Records:   len(g.table.records),
		Pending:   len(g.pending),
		Unsaved:   len(g.unsaved) + len(g.stored.writing),
		Versions:  map[string][]string{},
		Stages:    map[string]map[string]stage{},
		Splits:    map[string][]Split{},
		Adopted:   maps.Clone(g.adopted),
		Waits:     map[string]splitWait{},
		Held:      g.durability.held,
		Unsettled: maps.Clone(g.unsettled),
		Certain:   map[string]bool{},
		ListAgeMS: g.list.of(now, suspendedTime()).Milliseconds(),
	}
	for service, held := range g.splitWaits {
		s.Waits[service] = held.wait
	}
	for service := range g.versions.seen {
		s.Versions[service] = g.inUse(service, now)
		s.Stages[service] = maps.Clone(g.usageOf(service).stages)
		s.Certain[service] = g.certain(service, now)
		s.Splits[service] = g.usageOf(service).splits
	}
	return s
}
