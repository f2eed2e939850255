package residence

import (
	"math"
	"time"

	"peridotchute.example/fleet"
)

const (
	// maxReportAge is the age that a report may have when it is answered.
	maxReportAge = 120 * time.Millisecond
	// reportInterval is the time between reports that are awaited for one change: a
	// report of a known deployment is up to 200 ms old, so that the second tells.
	reportInterval = 150 * time.Millisecond
	// unloadReportInterval is the time between reports while an adapter that is to be
	// unloaded waits for its requests to end, which takes a second or two.
	unloadReportInterval = 700 * time.Millisecond
	// adapterLoadTime is the time in which an adapter is loaded: the slowest of the
	// known deployments takes 10 ms.
	adapterLoadTime = 12 * time.Millisecond
	// unresponsiveTime is how long after an order without an answer other servers are
	// preferred.
	unresponsiveTime = 3 * time.Second
	// maxFetching is how many adapters may be on their way to one server.
	maxFetching = 4
)

// State is what is known of one server. It changes by registrations, reports
// and the outcomes of orders.
type State struct {
	Server fleet.Server // as registered; Models holds what is newer

	Models   map[string]*Resident
	InMemory map[string]bool // models with a copy of their weights in the server's memory
	OnDisk   map[string]bool // models with a copy of their weights on the server's disk

	seq                  int64 // orders accepted, on which the next order is based
	minSeq               int64 // orders that were certainly accepted; at most seq
	synced               bool  // Models and seq belong together, and whether the server is busy is known
	sent                 *fleet.Order
	sentAt               time.Duration
	nextIncarnation      *fleet.Server // incarnation that registered while the order was on its way
	lostAt               time.Duration // when an order was last without an answer; 0 when none was
	lostOrders           []fleet.Order // without an answer; may take effect until seq has passed them
	work                 *Work         // model order in progress
	intent               *Intent       // orders decided on and not yet given
	nextReport           time.Duration // when a report is due; math.MaxInt64 when none is
	adaptersBlockedUntil time.Duration // no adapter orders until then
	lastUsed             map[Key]time.Duration
	loadedAt             map[string]time.Duration // when models were, or should have been, loaded by order
}

// Resident is a model that a server holds.
type Resident struct {
	Adapters map[string]*Adapter
}

// Adapter is an adapter that a server holds or fetches.
type Adapter struct {
	Ready     time.Duration // when it has been, or should have been, loaded
	Unloading bool          // ordered to be unloaded, not yet gone
}

// Work is a model order that a server carries out.
type Work struct {
	Kind   fleet.OrderKind
	Model  string // empty when another process gave the order
	Source Source
	Due    time.Duration // expected end
}

// Source is where the weights of a load come from.
type Source int

// The sources of weights, the slowest first.
const (
	SourceStore Source = iota
	SourceDisk
	SourceMemory
)

const never = time.Duration(math.MaxInt64)

// newState returns the state of a server that was not known before.
func newState(s fleet.Server, now time.Duration) *State {
	st := &State{nextReport: never, lastUsed: map[Key]time.Duration{}, loadedAt: map[string]time.Duration{}}
	st.startIncarnation(s, now)
	return st
}

// startIncarnation starts anew with an incarnation. Its registration does not say how many
// orders it has accepted, nor whether one is in progress: a report is due.
func (s *State) startIncarnation(sv fleet.Server, now time.Duration) {
	s.Server = sv
	s.seq, s.minSeq, s.synced = 0, 0, false
	s.sent, s.nextIncarnation, s.lostOrders, s.work, s.intent = nil, nil, nil, nil, nil
	s.adaptersBlockedUntil, s.lostAt = 0, 0
	s.nextReport = now
	s.Models = map[string]*Resident{}
	s.setResidents(sv.Residents, sv.Fetching, now)
	s.InMemory, s.OnDisk = setOf(sv.InMemory), setOf(sv.OnDisk)
}

// Register takes in a registration. It tells of a new incarnation, and whether
// the server is leaving; what the server holds after its orders is told by
// reports, since a registration can be older than they are. Rows of an earlier
// incarnation, or older than what is known, change nothing.
func (s *State) Register(sv fleet.Server, now time.Duration) {
	switch {
	case sv.Born > s.Server.Born && s.sent != nil:
		s.nextIncarnation = &sv
	case sv.Born > s.Server.Born:
		s.startIncarnation(sv, now)
	case sv.Born == s.Server.Born && sv.Registration >= s.Server.Registration:
		s.Server = sv
	}
}

// Report takes in a report and tells whether it was new enough to be believed.
// Of an order that was lost it shows whether it took effect.
func (s *State) Report(r fleet.Report, now time.Duration) bool {
	if s.sent != nil {
		return false
	}
	if r.Born != 0 && r.Born != s.Server.Born {
		s.synced = false // until it has registered
		s.nextReport = now + reportInterval
		return false
	}
	if r.OrderSeq < s.minSeq || (s.synced && r.OrderSeq < s.seq) {
		s.nextReport = now + maxReportAge
		return false
	}
	late := s.lostWorkInProgress(r, now)
	s.seq, s.minSeq, s.synced = r.OrderSeq, r.OrderSeq, true
	s.Server.Draining = s.Server.Draining || r.Draining
	s.dropSettledOrders()
	s.setResidents(r.Residents, r.Fetching, now)
	s.InMemory, s.OnDisk = setOf(r.InMemory), setOf(r.OnDisk)
	if s.work == nil {
		s.work = late
	}
	s.setBusy(r.Busy, now)
	if s.anyAdapterUnloading() {
		s.scheduleReport(now + unloadReportInterval)
	}
	return true
}

// lostWorkInProgress returns the model order that was lost and is in progress now, if the
// report's count shows that it was the last to be accepted.
func (s *State) lostWorkInProgress(r fleet.Report, now time.Duration) *Work {
	var found *Work
	for _, o := range s.lostOrders {
		if !r.Busy || o.Adapter != "" || o.Seq+1 != r.OrderSeq {
			continue
		}
		w := Work{Kind: o.Kind, Model: o.Model, Due: now}
		if found != nil && *found != w {
			return nil
		}
		found = &w
	}
	return found
}

// anyAdapterUnloading reports whether an adapter is to be unloaded and still held.
func (s *State) anyAdapterUnloading() bool {
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			if a.Unloading {
				return true
			}
		}
	}
	return false
}

func (s *State) setBusy(busy bool, now time.Duration) {
	if !busy {
		s.work = nil
		s.nextReport = never
		return
	}
	if s.work == nil {
		s.work = &Work{Due: now}
	}
	s.nextReport = max(s.work.Due+maxReportAge, now+reportInterval)
}

// dropSettledOrders forgets lost orders that can no longer take effect.
func (s *State) dropSettledOrders() {
	var open []fleet.Order
	for _, o := range s.lostOrders {
		if o.Seq >= s.seq {
			open = append(open, o)
		}
	}
	s.lostOrders = open
}

// ReportFailed says that no report came.
func (s *State) ReportFailed(now time.Duration) { s.nextReport = now + reportInterval }

// ReportDue reports whether the server is to be asked for a report.
func (s *State) ReportDue(now time.Duration) bool { return s.sent == nil && now >= s.nextReport }

func (s *State) scheduleReport(t time.Duration) { s.nextReport = min(s.nextReport, t) }

// ready reports whether an order can be based on what is known.
func (s *State) ready() bool { return s.synced && s.sent == nil }

// serves reports whether the server takes requests for the model.
func (s *State) serves(model string) bool {
	if _, ok := s.Models[model]; !ok {
		return false
	}
	return !s.unloading(model)
}

func (s *State) unloading(model string) bool {
	if s.work != nil && s.work.Kind == fleet.OrderUnload && s.work.Model == model {
		return true
	}
	return s.sent != nil && s.sent.Kind == fleet.OrderUnload && s.sent.Model == model && s.sent.Adapter == ""
}

// recentlyUnresponsive reports whether the server has left an order unanswered of late.
func (s *State) recentlyUnresponsive(now time.Duration) bool {
	return s.lostAt > 0 && now-s.lostAt < unresponsiveTime
}

// idle reports whether a model order can be given now.
func (s *State) idle() bool { return s.ready() && s.work == nil }

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}
