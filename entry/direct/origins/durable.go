package origins

import (
	"context"
	"errors"
	"time"
)

// maxSaveFailures is the number of consecutive failed writes after which a stream is not held
// back any longer for its record to be stored.
const maxSaveFailures = 2

// ErrNotDurable means that the record of a stream cannot be stored now.
var ErrNotDurable = errors.New("the store does not take the record of the stream's version")

// durability is the state of the writes of records.
type durability struct {
	failures int           // consecutive
	since    time.Time     // when the write in progress began; zero if there is none
	took     time.Duration // by the last write
	ended    chan struct{} // closed at the end of the next write
	held     int           // streams whose first event waits
	hurry    bool          // a record to write is of a stream that may be held
}

func newDurability() durability { return durability{ended: make(chan struct{})} }

// Invariant: no event of a resumable stream reaches its client before an entry that knows the
// store's content alone can tell the stream's version. Either the record is stored, or the
// version is the one that the newest split gives to the stream and the store has no record of
// another version. Without it, the split would say nothing of a stream that has no record.

// AwaitDurable blocks until a stream that a server of the version has begun may bring its first
// event. It returns ErrNotDurable if the stream should begin anew at the version that Assigned
// returns, or the error of ctx.
func (g *Registry) AwaitDurable(ctx context.Context, service, artifact, id, software string) error {
	s := Stream{Service: service, ID: id}
	g.mu.Lock()
	defer g.mu.Unlock()
	for !g.isDurable(s, artifact, software) {
		if g.durability.failures >= maxSaveFailures {
			return ErrNotDurable
		}
		ended := g.durability.ended
		g.durability.held++
		g.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
		}
		g.mu.Lock()
		g.durability.held--
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

// isDurable reports whether a stream may bring its first event. The caller holds mu.
func (g *Registry) isDurable(s Stream, artifact, software string) bool {
	if u := g.usageOf(s.Service); u.revision > 0 {
		if !g.stored.services[s.Service] {
			return true // one version is in use
		}
		division, _ := u.division()
		r, _ := g.table.find(s, time.Now())
		if version := division.version(artifact, s.ID); version == "" || version == software && !r.other {
			return true
		}
	}
	return !g.unsaved[s] && !g.stored.writing[s]
}

// Assignment is what follows from the newest split for a new stream.
type Assignment struct {
	Software string        // the version at which the stream needs no record; empty if there is none
	Required bool          // the store takes no records now, so that the stream has to begin there
	Hold     time.Duration // for which the first event of another version would be held back
}

// Assigned returns the version that the newest split gives to a new stream.
func (g *Registry) Assigned(service, artifact, id string) Assignment {
	g.mu.Lock()
	defer g.mu.Unlock()
	division, found := g.usageOf(service).division()
	if !found || !g.stored.services[service] {
		return Assignment{}
	}
	now := time.Now()
	return Assignment{
		Software: division.version(artifact, id),
		Required: g.durability.failures >= maxSaveFailures || !g.fresh(now) || g.readFailedAt.After(g.list.read),
		Hold:     heldSaveInterval + g.durability.writeTime(now),
	}
}

// StoreFailed records that a read of the list of servers, of this entry or another, failed. It began at
// the given time. New streams keep to their split until a list is read after that.
func (g *Registry) StoreFailed(began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readFailedAt = began
}

// writeTime returns how long a write of records takes now. The caller holds mu.
func (d *durability) writeTime(now time.Time) time.Duration {
	if d.since.IsZero() {
		return d.took
	}
	return max(d.took, now.Sub(d.since))
}

// beginWrite records that a write of records begins. The caller holds mu.
func (d *durability) beginWrite(now time.Time) { d.since, d.hurry = now, false }

// endWrite records the end of a write. The caller holds mu.
func (d *durability) endWrite(err error) {
	d.took, d.since = time.Since(d.since), time.Time{}
	d.failures++
	if err == nil {
		d.failures = 0
	}
	close(d.ended)
	d.ended = make(chan struct{})
}
