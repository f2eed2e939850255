package crashguard

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/store"
)

const (
	// rankDelay is how long each entry waits with a finding for the entry before it in the
	// order of names, so that usually one entry announces it. A message between regions
	// takes less.
	rankDelay = 100 * time.Millisecond
	maxRank   = 10 // entries after this many wait no longer

	maxUnsaved = 256 // entries whose rows wait to be written
)

// Sources of what is quarantined or released, in the log. Another source is the name of
// an entry.
const (
	sourceCrashes = "crashes"
	sourceAnswer  = "answer"
	sourceStore   = "store"
)

// Peers are the other entries. Implementations are safe for concurrent use and do not
// wait for delivery.
type Peers interface {
	// Connected returns the names of the connected entries.
	Connected() []string
	// Complete reports whether all known entries are connected.
	Complete() bool
	BroadcastCrash(r CrashReport)
	BroadcastCleared(parts ClearedParts)
	BroadcastEntries(e Entries)
	SendEntries(peer string, e Entries)
}

// Options configures a Guard.
type Options struct {
	Self   string // name of this entry
	Peers  Peers
	Table  store.Table // may be nil
	Log    *decisionlog.Log
	Events logrus.FieldLogger
}

// Guard knows which requests must not be sent to servers. It is safe for concurrent use.
type Guard struct {
	opts   Options
	wake   chan struct{}       // has one element when Run must look for findings
	save   chan struct{}       // has one element when RunRows must write rows
	losses chan lostAttempt    // requests lost at servers that may have crashed
	checks map[string]*pending // by incarnation; used by RunChecks only
	done   chan *pending       // checks that have ended

	mu       sync.Mutex
	detector *quarantine.Detector
	list     *quarantine.List
	watches  map[*watch]struct{}
	unsaved  map[uint64]quarantine.Entry // entries of this process whose rows must be written, by part
	actAt    time.Time                   // when this entry may announce a finding; zero without one
}

// New returns a Guard that knows of no crash.
func New(opts Options) *Guard {
	return &Guard{
		opts:     opts,
		wake:     make(chan struct{}, 1),
		save:     make(chan struct{}, 1),
		losses:   make(chan lostAttempt, maxLosses),
		checks:   map[string]*pending{},
		done:     make(chan *pending),
		detector: quarantine.NewDetector(),
		list:     quarantine.NewList(),
		watches:  map[*watch]struct{}{},
		unsaved:  map[uint64]quarantine.Entry{},
	}
}

// QuarantinedError says that a request has a part on which servers crash.
type QuarantinedError struct {
	Part      uint64
	Remaining time.Duration // until the quarantine ends
}

// Error implements error.
func (e *QuarantinedError) Error() string {
	return fmt.Sprintf("servers crash on prompt part %s", decisionlog.FormatPart(e.Part))
}

// watch is a request in progress.
type watch struct {
	parts  []uint64
	begun  func() bool
	cancel context.CancelCauseFunc
}

// Watch returns a context that is canceled with a *QuarantinedError as its cause when a
// part of the request is quarantined, unless its answer has begun by then. It is canceled
// at once if a part is quarantined already. The caller must call stop.
func (g *Guard) Watch(ctx context.Context, parts []uint64, begun func() bool) (watched context.Context, stop func()) {
	if len(parts) == 0 {
		return ctx, func() {}
	}
	watched, cancel := context.WithCancelCause(ctx)
	w := &watch{parts: parts, begun: begun, cancel: cancel}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(parts); err != nil {
		cancel(err)
		return watched, func() {}
	}
	g.watches[w] = struct{}{}
	return watched, func() {
		g.mu.Lock()
		delete(g.watches, w)
		g.mu.Unlock()
		cancel(nil)
	}
}

// Check returns a *QuarantinedError if a part is quarantined, and otherwise nil.
func (g *Guard) Check(parts []uint64) *QuarantinedError {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(parts)
}

func (g *Guard) check(parts []uint64) *QuarantinedError {
	now := time.Now()
	e, ok := g.list.Find(parts, now)
	if !ok {
		return nil
	}
	return &QuarantinedError{Part: e.Part, Remaining: e.Until.Sub(now)}
}

// Answered records that a request with the parts was answered completely.
func (g *Guard) Answered(parts []uint64) {
	if len(parts) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	cleared := g.detector.Answered(parts, now)
	if len(cleared) > 0 {
		g.opts.Peers.BroadcastCleared(cleared)
	}
	var released Entries
	for _, p := range parts {
		if e, ok := g.list.Release(p, now); ok {
			g.opts.Log.Write(decisionlog.PartReleased{Part: p, Source: sourceAnswer})
			released = append(released, stateOf(e, now))
			g.saveLater(e)
		}
	}
	if len(released) > 0 {
		g.opts.Peers.BroadcastEntries(released)
	}
}

// ReceiveCrash adds the report of another entry.
func (g *Guard) ReceiveCrash(r CrashReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.addCrash(r.Server, before(now, r.AgeMS), r.requests(now), now)
}

// ReceiveCleared adds the answers of another entry.
func (g *Guard) ReceiveCleared(parts ClearedParts) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.Answered(parts, time.Now())
}

// ReceiveEntries adds what another entry knows.
func (g *Guard) ReceiveEntries(from string, entries Entries) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for _, s := range entries {
		g.merge(s.entry(now), from, now)
	}
}

// PeerConnected sends an entry that has connected what this one knows.
func (g *Guard) PeerConnected(peer string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	var all Entries
	for _, e := range g.list.Entries(now) {
		all = append(all, stateOf(e, now))
	}
	if len(all) > 0 {
		g.opts.Peers.SendEntries(peer, all)
	}
}

// addCrash adds a report about a crash. A crash on a quarantined part renews the
// quarantine. The caller holds mu.
func (g *Guard) addCrash(server string, at time.Time, lost []quarantine.Lost, now time.Time) {
	g.detector.Crashed(server, at, lost, now)
	for i := range lost {
		for _, p := range lost[i].Parts {
			if g.list.Quarantined(p, now) {
				g.list.Quarantine(p, now)
			}
		}
	}
	signal(g.wake)
}

// merge applies an entry of another process. The caller holds mu.
func (g *Guard) merge(e quarantine.Entry, source string, now time.Time) {
	if !g.list.Merge(e, now) {
		return
	}
	if !e.Quarantined() {
		g.opts.Log.Write(decisionlog.PartReleased{Part: e.Part, Source: source})
		return
	}
	g.opts.Log.Write(decisionlog.PartQuarantined{Part: e.Part, Source: source, Remaining: e.Until.Sub(now)})
	g.cancelWatched(e, now)
}

// cancelWatched ends the requests with the part whose answers have not begun. The caller
// holds mu.
func (g *Guard) cancelWatched(e quarantine.Entry, now time.Time) {
	for w := range g.watches {
		if slices.Contains(w.parts, e.Part) && !w.begun() {
			w.cancel(&QuarantinedError{Part: e.Part, Remaining: e.Until.Sub(now)})
		}
	}
}

// Run looks for parts on which servers crash until ctx is done.
func (g *Guard) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-g.wake:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if again := g.detect(time.Now()); !again.IsZero() {
			timer.Reset(time.Until(again))
		}
	}
}

// detect quarantines the parts found, and returns when to look again, or zero.
func (g *Guard) detect(now time.Time) (again time.Time) {
	connected := g.opts.Peers.Connected()
	g.mu.Lock()
	defer g.mu.Unlock()
	findings, again := g.detector.Find(now, func(p uint64) bool { return g.list.Quarantined(p, now) })
	if len(findings) == 0 {
		g.actAt = time.Time{}
		return again
	}
	if g.actAt.IsZero() {
		g.actAt = now.Add(time.Duration(rank(g.opts.Self, connected)) * rankDelay)
	}
	if now.Before(g.actAt) {
		return g.actAt
	}
	g.actAt = time.Time{}
	g.quarantine(findings, now)
	return now // the crashes that these do not explain may have another cause
}

// quarantine quarantines the parts and tells the other entries. The caller holds mu.
func (g *Guard) quarantine(findings []quarantine.Finding, now time.Time) {
	var states Entries
	for _, f := range findings {
		e := g.list.Quarantine(f.Part, now)
		g.opts.Log.Write(decisionlog.PartQuarantined{
			Part:      f.Part,
			Source:    sourceCrashes,
			Crashes:   f.Crashes,
			Requests:  f.Requests,
			Remaining: e.Until.Sub(now),
		})
		states = append(states, stateOf(e, now))
		g.cancelWatched(e, now)
		g.saveLater(e)
	}
	g.opts.Peers.BroadcastEntries(states)
}

// rank returns the number of connected entries with lower names than self, up to maxRank.
func rank(self string, connected []string) int {
	n := 0
	for _, name := range connected {
		if name < self {
			n++
		}
	}
	return min(n, maxRank)
}

// saveLater makes RunRows write the row of an entry. The caller holds mu.
func (g *Guard) saveLater(e quarantine.Entry) {
	if len(g.unsaved) >= maxUnsaved {
		clear(g.unsaved) // running entries still know the parts
	}
	g.unsaved[e.Part] = e
	signal(g.save)
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

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
	s := State{Parts: []PartState{}, Crashes: g.detector.Crashes(), Suspects: g.detector.Suspects(), Unsaved: len(g.unsaved)}
	for _, e := range g.list.Entries(now) {
		s.Parts = append(s.Parts, PartState{
			Part:        decisionlog.FormatPart(e.Part),
			Quarantined: e.Quarantined(),
			RemainingMS: e.Until.Sub(now).Milliseconds(),
		})
	}
	return s
}
