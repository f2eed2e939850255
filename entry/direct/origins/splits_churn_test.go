package origins

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	churnEntries = 400
	churnStep    = 100 * time.Millisecond

	followDelay     = 500 * time.Millisecond // from the write of a row until an entry follows it and has stored its records
	downTime        = 500 * time.Millisecond // of an entry that is restarted
	rowExpiry       = time.Minute            // after which the row of an entry that is gone is removed
	restartInterval = time.Second            // between two restarts, of one entry after the other
	lossInterval    = 10 * time.Second       // between two entries that end for good, each replaced by another

	maxDropTime = rowExpiry + 5*time.Second // from the addition of a split until the earlier one is dropped
)

// churn has the entries of a large deployment restart one after the other, and some end for good, while one
// that runs on decides about the splits.
type churn struct {
	rnd     *rand.Rand
	now     time.Time
	in      splitInputs
	entries map[string]*churnEntry
	made    int // entries

	added, dropped []time.Duration // how long each took
}

// churnEntry is an entry of a churn. Whenever it runs it begins streams without records.
type churnEntry struct {
	started time.Time           // of the latest process
	gone    time.Time           // when it ended for good
	follows int64               // number of the split that the latest process follows
	former  map[int64]time.Time // until when streams of earlier processes can be resumed, by the number of their split
}

func newChurn(seed uint64) *churn {
	c := &churn{rnd: rand.New(rand.NewPCG(seed, 0)), now: time.Now(), entries: map[string]*churnEntry{}}
	c.in = readyInputs()
	c.in.splits = []Split{{Number: 3, Only: "v1"}}
	c.in.members, c.in.progress = nil, map[string]*entryProgress{}
	c.in.isConnected = func(name string) bool { return c.entries[name].runs(c.now) }
	for range churnEntries {
		c.add()
	}
	return c
}

// add adds an entry that no other of its name preceded.
func (c *churn) add() {
	name := fmt.Sprintf("entry-%d", c.made)
	c.made++
	c.entries[name] = &churnEntry{started: c.now.Add(-time.Hour), follows: c.newest(), former: map[int64]time.Time{}}
	c.in.members = append(c.in.members, name)
}

func (c *churn) newest() int64 { return newestOf(c.in.splits) }

func (e *churnEntry) runs(now time.Time) bool { return e.gone.IsZero() && !e.started.After(now) }

// end ends the running process of an entry.
func (e *churnEntry) end(now time.Time) { e.former[e.follows] = now.Add(resumeTime) }

// relies reports whether a stream of the entry that can be resumed has no record and is at the version
// of a split before the one with the number.
func (e *churnEntry) relies(number int64, now time.Time) bool {
	for follows, until := range e.former {
		if follows < number && now.Before(until) {
			return true
		}
	}
	return e.runs(now) && e.follows < number
}

// step makes some time pass.
func (c *churn) step(t *testing.T) {
	t.Helper()
	c.now = c.now.Add(churnStep)
	c.in.now, c.in.newestAge = c.now, c.in.newestAge+churnStep
	for name, e := range c.entries {
		c.run(name, e)
	}
	if c.in.newestAge >= followDelay {
		c.in.own = progressOf(c.newest(), true)
	}
	before := c.in.splits
	splits, wait := nextSplits(c.in)
	c.in.splits = splits
	c.in.waited += churnStep
	switch {
	case len(splits) > len(before):
		c.added = append(c.added, c.in.waited)
		c.in.newestAge, c.in.nextNumber = 0, c.in.nextNumber+1
	case len(splits) < len(before):
		c.dropped = append(c.dropped, c.in.newestAge)
		for name, e := range c.entries {
			assert.Assert(t, !e.relies(splits[0].Number, c.now), "a stream of %s falls to the split that was dropped", name)
		}
	}
	if wait.For != waitReadiness {
		c.in.waited = 0
	}
}

// run has an entry that runs follow the newest split and tell its progress, and removes one that is gone.
func (c *churn) run(name string, e *churnEntry) {
	if !e.gone.IsZero() && c.now.Sub(e.gone) >= rowExpiry {
		delete(c.entries, name)
		c.in.members = slices.DeleteFunc(c.in.members, func(m string) bool { return m == name })
		return
	}
	if !e.runs(c.now) {
		return
	}
	if c.in.newestAge >= followDelay {
		e.follows = c.newest()
	}
	if c.in.progress[name] == nil {
		c.in.progress[name] = &entryProgress{adopted: map[string]adoption{}}
	}
	c.in.progress[name].tell(progressOf(e.follows, c.now.Sub(e.started) >= resumeTime), c.now)
}

// disturb restarts the next entry in turn, and has one be gone, when each is due.
func (c *churn) disturb(step int) {
	names := slices.Clone(c.in.members)
	if step%int(restartInterval/churnStep) == 0 {
		e := c.entries[names[step%len(names)]]
		if e.runs(c.now) {
			e.end(c.now)
			e.started, e.follows = c.now.Add(downTime), c.newest()
		}
	}
	if step%int(lossInterval/churnStep) == 0 {
		e := c.entries[names[c.rnd.IntN(len(names))]]
		if e.runs(c.now) {
			e.end(c.now)
			e.gone = c.now
			c.add()
		}
	}
}

// TestSplitsDoNotChangeWhileEntriesRestartInTurn has a split be wanted again and again while there is
// always an entry that was restarted lately, and one that is out of reach.
func TestSplitsDoNotChangeWhileEntriesRestartInTurn(t *testing.T) {
	const length = 10 * time.Minute
	for seed := range uint64(3) {
		c := newChurn(seed)
		for step := range int(length / churnStep) {
			c.disturb(step)
			c.in.shares = sharesFor(map[string]int{"v1": 4, "v2": 4 + len(c.dropped)%2})
			c.step(t)
		}
		t.Logf("added after %v, dropped after %v", c.added, c.dropped)
		assert.Assert(t, len(c.dropped) >= 3, "%v", c.dropped)
		for i := range c.dropped {
			assert.Assert(t, c.added[i] <= maxReadinessWait+churnStep, "%v", c.added)
			assert.Assert(t, c.dropped[i] <= maxDropTime, "%v", c.dropped)
		}
	}
}
