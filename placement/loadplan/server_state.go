package loadplan

import (
	"math"
	"time"

	"peridotchute.example/fleet"
)

const (
	// maxReportAge is the assumed maximum age of a report when it is returned.
	maxReportAge = 120 * time.Millisecond
	// reportInterval is the interval between report requests while a change
	// is awaited. If a report is older than assumed, up to 200 ms, the second
	// one shows the change.
	reportInterval = 150 * time.Millisecond
	// unloadReportInterval is the interval between report requests while an
	// adapter waits for its requests to end before it is unloaded, which
	// takes 1-2 s.
	unloadReportInterval = 700 * time.Millisecond
	// adapterLoadTime is the assumed load time of an adapter; the slowest
	// known deployment takes 10 ms.
	adapterLoadTime = 12 * time.Millisecond
	// unresponsiveTime is how long other servers are preferred after an order
	// got no answer.
	unresponsiveTime = 3 * time.Second
	// maxFetching is the maximum number of adapters that one server loads at
	// a time.
	maxFetching = 4
)

// ServerState is the known state of one server. Registrations, reports and order
// outcomes update it.
type ServerState struct {
	Server fleet.Server // as registered; Models is more recent

	Models   map[string]*Resident
	InMemory map[string]bool // models with a copy of their weights in the server's memory
	OnDisk   map[string]bool // models with a copy of their weights on the server's disk

	seq                  int64 // accepted orders; the next order carries this count
	minSeq               int64 // lower bound of the accepted orders; at most seq
	synced               bool  // Models and seq are consistent, and it is known whether the server is busy
	sent                 *fleet.Order
	sentAt               time.Duration
	nextIncarnation      *fleet.Server // incarnation that registered while an order was in flight
	lostAt               time.Duration // time of the last lost order; 0 if there was none
	lostOrders           []fleet.Order // orders without an answer; each may take effect until seq exceeds its number
	work                 *Work         // model order in progress
	intent               *Intent       // planned orders that have not been issued
	nextReport           time.Duration // when to request a report; never if none is needed
	adaptersBlockedUntil time.Duration // no adapter orders before this time
	lastUsed             map[Key]time.Duration
	loadedAt             map[string]time.Duration // when ordered model loads finished or are expected to
}

// Resident is a model loaded on a server.
type Resident struct {
	Adapters map[string]*Adapter
}

// Adapter is an adapter that a server has loaded or is loading.
type Adapter struct {
	Ready     time.Duration // when it was or is expected to be loaded
	Unloading bool          // unload ordered but not finished
}

// Work is a model order in progress on a server.
type Work struct {
	Kind   fleet.OrderKind
	Model  string // empty if another process issued the order
	Source Source
	Due    time.Duration // expected end
}

// Source is the origin of the weights of a load.
type Source int

// The sources of weights, slowest first.
const (
	SourceStore Source = iota
	SourceDisk
	SourceMemory
)

const never = time.Duration(math.MaxInt64)

// newState returns the state of a newly registered server.
func newState(s fleet.Server, now time.Duration) *ServerState {
	st := &ServerState{nextReport: never, lastUsed: map[Key]time.Duration{}, loadedAt: map[string]time.Duration{}}
	st.startIncarnation(s, now)
	return st
}

// startIncarnation resets the state to a newly registered incarnation. A
// registration contains neither the order count nor whether an order is in
// progress, so a report is due at once.
func (s *ServerState) startIncarnation(sv fleet.Server, now time.Duration) {
	s.Server = sv
	s.seq, s.minSeq, s.synced = 0, 0, false
	s.sent, s.nextIncarnation, s.lostOrders, s.work, s.intent = nil, nil, nil, nil, nil
	s.adaptersBlockedUntil, s.lostAt = 0, 0
	s.nextReport = now
	s.Models = map[string]*Resident{}
	s.setResidents(sv.Residents, sv.Fetching, now)
	s.InMemory, s.OnDisk = setOf(sv.InMemory), setOf(sv.OnDisk)
}

// Register applies a registration, which shows new incarnations and draining.
// It doesn't change the loaded models of a known incarnation, because it may be
// older than the last report. Registrations of earlier incarnations and
// outdated ones are ignored.
func (s *ServerState) Register(sv fleet.Server, now time.Duration) {
	switch {
	case sv.Born > s.Server.Born && s.sent != nil:
		s.nextIncarnation = &sv
	case sv.Born > s.Server.Born:
		s.startIncarnation(sv, now)
	case sv.Born == s.Server.Born && sv.Registration >= s.Server.Registration:
		s.Server = sv
	}
}

// Report applies a report and returns whether it was recent enough to be used.
// It also settles the lost orders with numbers below the reported order count.
func (s *ServerState) Report(r fleet.Report, now time.Duration) bool {
	if s.sent != nil {
		return false
	}
	if r.Born != 0 && r.Born != s.Server.Born {
		s.synced = false // until the new incarnation registers
		s.nextReport = now + reportInterval
		return false
	}
	if r.OrderSeq < s.minSeq || (s.synced && r.OrderSeq < s.seq) {
		s.nextReport = now + maxReportAge
		return false
	}
	lostWork := s.lostWorkInProgress(r, now)
	s.seq, s.minSeq, s.synced = r.OrderSeq, r.OrderSeq, true
	s.Server.Draining = s.Server.Draining || r.Draining
	s.dropSettledOrders()
	s.setResidents(r.Residents, r.Fetching, now)
	s.InMemory, s.OnDisk = setOf(r.InMemory), setOf(r.OnDisk)
	if s.work == nil {
		s.work = lostWork
	}
	s.setBusy(r.Busy, now)
	if s.anyAdapterUnloading() {
		s.scheduleReport(now + unloadReportInterval)
	}
	return true
}

// lostWorkInProgress returns the lost model order that is now in progress, if
// the report's order count shows that it was the last one accepted. It returns
// nil if several different orders qualify.
func (s *ServerState) lostWorkInProgress(r fleet.Report, now time.Duration) *Work {
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

// anyAdapterUnloading reports whether the unload of any adapter is unfinished.
func (s *ServerState) anyAdapterUnloading() bool {
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			if a.Unloading {
				return true
			}
		}
	}
	return false
}

func (s *ServerState) setBusy(busy bool, now time.Duration) {
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

// dropSettledOrders removes lost orders that can no longer take effect.
func (s *ServerState) dropSettledOrders() {
	var remaining []fleet.Order
	for _, o := range s.lostOrders {
		if o.Seq >= s.seq {
			remaining = append(remaining, o)
		}
	}
	s.lostOrders = remaining
}

// ReportFailed records that a report request failed and schedules the next one.
func (s *ServerState) ReportFailed(now time.Duration) { s.nextReport = now + reportInterval }

// ReportDue reports whether a report should be requested from the server.
func (s *ServerState) ReportDue(now time.Duration) bool { return s.sent == nil && now >= s.nextReport }

func (s *ServerState) scheduleReport(t time.Duration) { s.nextReport = min(s.nextReport, t) }

// ready reports whether the known state is sufficient to issue an order.
func (s *ServerState) ready() bool { return s.synced && s.sent == nil }

// serves reports whether the server accepts requests for the model.
func (s *ServerState) serves(model string) bool {
	if _, ok := s.Models[model]; !ok {
		return false
	}
	return !s.unloading(model)
}

func (s *ServerState) unloading(model string) bool {
	if s.work != nil && s.work.Kind == fleet.OrderUnload && s.work.Model == model {
		return true
	}
	return s.sent != nil && s.sent.Kind == fleet.OrderUnload && s.sent.Model == model && s.sent.Adapter == ""
}

// recentlyUnresponsive reports whether an order to the server was lost within
// unresponsiveTime.
func (s *ServerState) recentlyUnresponsive(now time.Duration) bool {
	return s.lostAt > 0 && now-s.lostAt < unresponsiveTime
}

// idle reports whether a model order can be issued now.
func (s *ServerState) idle() bool { return s.ready() && s.work == nil }

func setOf(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}
