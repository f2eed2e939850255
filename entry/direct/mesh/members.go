package mesh

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	// forgetAfter is how long an entry is unreachable before its row is removed
	// and nobody dials it any more: longer than a restart or a short partition.
	forgetAfter = 60 * time.Second
	// dialTurn is how long the higher-named of two entries leaves the dialing
	// to the other, so that they mostly open one connection and not two.
	dialTurn = 300 * time.Millisecond
	// firstRedial and longestRedial bound the wait between attempts.
	firstRedial   = 50 * time.Millisecond
	longestRedial = time.Second
)

// member is an entry other than this one.
type member struct {
	id      Identity
	listed  bool      // has a row, by the newest reading
	version string    // of its row
	alone   time.Time // since when no connection leads to it; zero while one does
	target  *target
}

// target is an address that is dialed until it is connected.
type target struct {
	address string
	next    time.Time // of the next attempt
	wait    *backoff.ExponentialBackOff
}

func newTarget(address string, first time.Time) *target {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstRedial
	wait.MaxInterval = longestRedial
	return &target{address: address, next: first, wait: wait}
}

// reset makes the next attempt the first again.
func (t *target) reset(first time.Time) {
	t.wait.Reset()
	t.next = first
}

// members are the entries that this one knows, by name.
type members struct {
	self string
	all  map[string]*member
}

func newMembers(self string) members { return members{self: self, all: map[string]*member{}} }

// learn takes in an identity that a row, a peer or the entry itself told. What
// a connected entry said of itself goes before what others say. It reports
// whether the entry was new.
func (ms *members) learn(id Identity, connected bool, now time.Time) bool {
	if id.Name == "" || id.Name == ms.self || id.Address == "" {
		return false
	}
	old, known := ms.all[id.Name]
	if !known {
		ms.all[id.Name] = &member{id: id, alone: now, target: newTarget(id.Address, ms.turn(id.Name, now))}
		return true
	}
	if old.alone.IsZero() && !connected {
		return false
	}
	if old.id.Address != id.Address {
		old.target = newTarget(id.Address, ms.turn(id.Name, now))
	}
	old.id = id
	return false
}

// turn returns when this entry dials another that it has lost or just met.
func (ms *members) turn(name string, now time.Time) time.Time {
	if ms.self < name {
		return now
	}
	return now.Add(dialTurn)
}

// connected notes that a connection leads to the entry.
func (ms *members) connected(name string) {
	m := ms.all[name]
	m.alone = time.Time{}
	m.target.wait.Reset()
}

// disconnected notes that none does any more.
func (ms *members) disconnected(name string, now time.Time) {
	if m, ok := ms.all[name]; ok && m.alone.IsZero() {
		m.alone = now
		m.target.reset(ms.turn(name, now))
	}
}

// list takes in a reading of all rows.
func (ms *members) list(rows map[string]listedRow, now time.Time) {
	for name, m := range ms.all {
		if _, ok := rows[name]; !ok {
			m.listed, m.version = false, ""
		}
	}
	for name, row := range rows {
		if name == ms.self {
			continue
		}
		m, known := ms.all[name]
		if !known || m.version != row.version { // an unchanged row tells nothing new
			ms.learn(row.id, false, now)
		}
		if m = ms.all[name]; m == nil {
			continue
		}
		if m.version != row.version && !m.alone.IsZero() {
			m.alone = now // it was alive when it wrote the row
		}
		m.listed, m.version = true, row.version
	}
}

// forget drops the entries that are neither reachable nor listed, and returns
// those whose row is to be removed. claimed tells whether a peer is connected to
// an entry.
func (ms *members) forget(claimed func(name string) bool, now time.Time) []*member {
	var out []*member
	for name, m := range ms.all {
		if m.alone.IsZero() || now.Sub(m.alone) < forgetAfter || claimed(name) {
			continue
		}
		if m.listed {
			out = append(out, m)
			continue
		}
		delete(ms.all, name)
	}
	slices.SortFunc(out, func(a, b *member) int { return strings.Compare(a.id.Name, b.id.Name) })
	return out
}

// names returns the names of all, in order.
func (ms *members) names() []string { return slices.Sorted(maps.Keys(ms.all)) }
