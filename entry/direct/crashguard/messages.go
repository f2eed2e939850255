package crashguard

import (
	"time"

	"peridotchute.example/admission/quarantine"
)

// CrashReport tells the other entries which requests an entry lost in the crash of a
// server. Times are ages, since the clocks of entries differ. JSON names are short
// because a report lists many requests.
type CrashReport struct {
	Server  string        `json:"s"` // incarnation
	Service string        `json:"v"`
	AgeMS   int64         `json:"a"` // since the requests were lost
	Lost    []LostRequest `json:"l"`
}

// LostRequest is a request in a CrashReport.
type LostRequest struct {
	ID     string   `json:"i"`
	Digest uint64   `json:"d,omitempty"`
	Parts  []uint64 `json:"p,omitempty"`
	AgeMS  int64    `json:"a"` // since it was sent to the server
	Begun  bool     `json:"b,omitempty"`
}

// ClearedCauses tells the other entries that requests of a service, with causes lost in a
// crash, have been answered.
type ClearedCauses struct {
	Service string       `json:"v"`
	Causes  []CauseState `json:"c"`
}

// CauseState is a quarantine.Cause in messages.
type CauseState struct {
	ID      uint64 `json:"p"`
	Request bool   `json:"q,omitempty"` // the digest of a request, not a part of prompts
}

// Entries tells the other entries which causes are quarantined or were released lately.
type Entries []EntryState

// EntryState is a quarantine.Entry with the time left.
type EntryState struct {
	CauseState
	Changes     int   `json:"n"`
	RemainingMS int64 `json:"r"`
}

func causeState(c quarantine.Cause) CauseState {
	return CauseState{ID: c.ID, Request: c.Kind == quarantine.WholeRequest}
}

func (s CauseState) cause() quarantine.Cause {
	if s.Request {
		return quarantine.Request(s.ID)
	}
	return quarantine.Part(s.ID)
}

func reportOf(c quarantine.Crash, now time.Time) CrashReport {
	r := CrashReport{Server: c.Server, Service: c.Service, AgeMS: now.Sub(c.At).Milliseconds()}
	for _, l := range c.Lost {
		r.Lost = append(r.Lost, LostRequest{ID: l.ID, Digest: l.Digest, Parts: l.Parts, AgeMS: now.Sub(l.Sent).Milliseconds(), Begun: l.Begun})
	}
	return r
}

// crash returns the crash of a report that was received now.
func (r CrashReport) crash(now time.Time) quarantine.Crash {
	c := quarantine.Crash{Server: r.Server, Service: r.Service, At: before(now, r.AgeMS)}
	for _, l := range r.Lost {
		c.Lost = append(c.Lost, quarantine.Lost{ID: l.ID, Digest: l.Digest, Parts: l.Parts, Sent: before(now, l.AgeMS), Begun: l.Begun})
	}
	return c
}

func before(now time.Time, ageMS int64) time.Time {
	return now.Add(-time.Duration(max(ageMS, 0)) * time.Millisecond)
}

func stateOf(e quarantine.Entry, now time.Time) EntryState {
	return EntryState{CauseState: causeState(e.Cause), Changes: e.Changes, RemainingMS: e.Until.Sub(now).Milliseconds()}
}

func (s EntryState) entry(now time.Time) quarantine.Entry {
	return quarantine.Entry{Cause: s.cause(), Changes: s.Changes, Until: now.Add(time.Duration(s.RemainingMS) * time.Millisecond)}
}
