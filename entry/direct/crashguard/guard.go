package crashguard

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/admission/quarantine"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/fleet"
	"peridotchute.example/store"
)

// maxUnsaved is the number of entries whose rows may wait to be written.
const maxUnsaved = 256

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
	BroadcastCleared(causes ClearedCauses)
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
	opts    Options
	checker *checker
	wake    chan struct{} // has one element when Run must look for findings
	save    chan struct{} // has one element when RunRows must write rows

	mu       sync.Mutex
	detector *quarantine.Detector
	list     *quarantine.List
	watches  map[*watch]struct{}
	unsaved  map[quarantine.Cause]quarantine.Entry // entries of this process whose rows must be written
	actAt    time.Time                             // when this entry may announce a finding; zero without one
}

// New returns a Guard that knows of no crash.
func New(opts Options) *Guard {
	g := &Guard{
		opts:     opts,
		wake:     make(chan struct{}, 1),
		save:     make(chan struct{}, 1),
		detector: quarantine.NewDetector(),
		list:     quarantine.NewList(),
		watches:  map[*watch]struct{}{},
		unsaved:  map[quarantine.Cause]quarantine.Entry{},
	}
	g.checker = newChecker(g.report)
	return g
}

// Lost records that the connection to a server broke after a request was sent there, and
// before its answer was complete. It does not block.
func (g *Guard) Lost(s *fleet.Server, lost quarantine.Lost) {
	g.checker.offer(lostAttempt{server: s, at: time.Now(), lost: lost})
}

// RunChecks checks whether servers that lost requests have crashed, until ctx is done.
func (g *Guard) RunChecks(ctx context.Context) { g.checker.run(ctx) }

// report records a crash and tells the other entries.
func (g *Guard) report(p *pending) {
	g.opts.Log.Write(decisionlog.ServerCrashed{Server: p.server.ID, Service: p.server.Service, Address: p.server.Address, Lost: len(p.lost)})
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	crash := quarantine.Crash{Server: incarnation(p.server), Service: p.server.Service, At: p.at, Lost: p.lost}
	g.addCrash(crash, now)
	g.opts.Peers.BroadcastCrash(reportOf(crash, now))
}

// Answered records that a request was answered completely.
func (g *Guard) Answered(c quarantine.Contents) {
	c.Digest() // not under the lock: it may hash a long body
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	cleared := ClearedCauses{Service: c.Service}
	for _, cause := range g.detector.Answered(c, now) {
		cleared.Causes = append(cleared.Causes, causeState(cause))
	}
	if len(cleared.Causes) > 0 {
		g.opts.Peers.BroadcastCleared(cleared)
	}
	g.release(c, now)
}

// release ends the quarantine of what an answered request holds. The caller holds mu.
func (g *Guard) release(c quarantine.Contents, now time.Time) {
	var released Entries
	for {
		held, ok := g.list.Find(c, now)
		if !ok {
			break
		}
		e, _ := g.list.Release(held.Cause, now)
		g.opts.Log.Write(decisionlog.CauseReleased{Cause: loggedCause(e.Cause), Source: sourceAnswer})
		released = append(released, stateOf(e, now))
		g.saveLater(e)
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
	g.addCrash(r.crash(now), now)
}

// ReceiveCleared adds the answers of another entry.
func (g *Guard) ReceiveCleared(cleared ClearedCauses) {
	g.mu.Lock()
	defer g.mu.Unlock()
	causes := make([]quarantine.Cause, len(cleared.Causes))
	for i, c := range cleared.Causes {
		causes[i] = c.cause()
	}
	g.detector.AnsweredWith(cleared.Service, causes, time.Now())
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

// addCrash adds a report about a crash. A crash on a quarantined cause renews the
// quarantine. The caller holds mu.
func (g *Guard) addCrash(r quarantine.Crash, now time.Time) {
	g.detector.Crashed(r, now)
	for i := range r.Lost {
		for _, c := range r.Lost[i].Causes() {
			if g.list.Quarantined(c, now) {
				g.list.Quarantine(c, now)
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
		g.opts.Log.Write(decisionlog.CauseReleased{Cause: loggedCause(e.Cause), Source: source})
		return
	}
	g.opts.Log.Write(decisionlog.CauseQuarantined{Cause: loggedCause(e.Cause), Source: source, Remaining: e.Until.Sub(now)})
	g.cancelWatched(e, now)
}

// saveLater makes RunRows write the row of an entry. The caller holds mu.
func (g *Guard) saveLater(e quarantine.Entry) {
	if len(g.unsaved) >= maxUnsaved {
		clear(g.unsaved) // running entries still know the causes
	}
	g.unsaved[e.Cause] = e
	signal(g.save)
}

func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// loggedCause returns a cause as the log names it.
func loggedCause(c quarantine.Cause) decisionlog.Cause {
	if c.Kind == quarantine.WholeRequest {
		return decisionlog.Cause{Digest: c.ID}
	}
	return decisionlog.Cause{Part: c.ID}
}
