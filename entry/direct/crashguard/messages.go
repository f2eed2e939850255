package crashguard

import (
	"time"

	"peridotchute.example/admission/quarantine"
)

// CrashReport tells the other entries which requests an entry lost in the crash of a
// server. Times are ages, since the clocks of entries differ. JSON names are short
// because a report lists many requests.
type CrashReport struct {
	Server string        `json:"s"` // incarnation
	AgeMS  int64         `json:"a"` // since the requests were lost
	Lost   []LostRequest `json:"l"`
}

// LostRequest is a request in a CrashReport.
type LostRequest struct {
	ID    string   `json:"i"`
	Parts []uint64 `json:"p"`
	AgeMS int64    `json:"a"` // since it was sent to the server
	Begun bool     `json:"b,omitempty"`
}

// ClearedParts tells the other entries that requests with parts lost in a crash have been
// answered.
type ClearedParts []uint64

// Entries tells the other entries which parts are quarantined or were released lately.
type Entries []EntryState

// EntryState is a quarantine.Entry with the time left.
type EntryState struct {
	Part        uint64 `json:"p"`
	Changes     int    `json:"n"`
	RemainingMS int64  `json:"r"`
}

func reportOf(server string, at time.Time, lost []quarantine.Lost, now time.Time) CrashReport {
	r := CrashReport{Server: server, AgeMS: now.Sub(at).Milliseconds()}
	for _, l := range lost {
		r.Lost = append(r.Lost, LostRequest{ID: l.ID, Parts: l.Parts, AgeMS: now.Sub(l.Sent).Milliseconds(), Begun: l.Begun})
	}
	return r
}

// requests returns the lost requests of a report that was received now.
func (r CrashReport) requests(now time.Time) []quarantine.Lost {
	out := make([]quarantine.Lost, len(r.Lost))
	for i, l := range r.Lost {
		out[i] = quarantine.Lost{ID: l.ID, Parts: l.Parts, Sent: before(now, l.AgeMS), Begun: l.Begun}
	}
	return out
}

func before(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(max(ageMS, 0)) * time.Millisecond)
}

func stateOf(e quarantine.Entry, now time.Time) EntryState {
	return EntryState{Part: e.Part, Changes: e.Changes, RemainingMS: e.Until.Sub(now).Milliseconds()}
}

func (s EntryState) entry(now time.Time) quarantine.Entry {
	return quarantine.Entry{Part: s.Part, Changes: s.Changes, Until: now.Add(time.Duration(s.RemainingMS) * time.Millisecond)}
}
