package view

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/fault"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/fleet"
)

const (
	callMargin = 1500 * time.Millisecond // of a call to silentStore, beyond the time for which it waits
	shareDelay = 200 * time.Millisecond  // until a document has reached the other entries
	callWindow = 100 * time.Millisecond  // in which calls are counted together
)

// silentStore is a fleet.Directory whose calls, and answers that are due, are lost while it
// is silent.
type silentStore struct {
	mu      sync.Mutex
	silent  bool
	version int64
	changed chan struct{} // closed at the next change
	calls   []time.Time
}

func (s *silentStore) call() (lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, time.Now())
	return s.silent
}

func (s *silentStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *silentStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) state() (silent bool, version int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent, s.version, s.changed
}

// callsSince returns the number of calls since a time, and the most in one callWindow.
func (s *silentStore) callsSince(start time.Time) (n, most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	windows := map[time.Duration]int{}
	for _, at := range s.calls {
		if at.After(start) {
			n++
			windows[at.Sub(start)/callWindow]++
		}
	}
	for _, count := range windows {
		most = max(most, count)
	}
	return n, most
}

func unanswered(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
	case <-time.After(wait + callMargin):
	}
	return fault.Newf(fault.KindUnknown, "store", "", "no answer")
}

func (s *silentStore) snapshot(version int64) fleet.Snapshot {
	return fleet.Snapshot{Config: &fleet.Config{Version: version}, Position: fleet.Position{Version: version}}
}

func (s *silentStore) Config(ctx context.Context) (fleet.Snapshot, error) {
	if s.call() {
		return fleet.Snapshot{}, unanswered(ctx, 0)
	}
	_, version, _ := s.state()
	return s.snapshot(version), nil
}

func (s *silentStore) NextConfig(ctx context.Context, position fleet.Position, wait time.Duration) (fleet.Snapshot, error) {
	if s.call() {
		return fleet.Snapshot{}, unanswered(ctx, wait)
	}
	deadline := time.After(wait)
	for due := false; ; {
		silent, version, changed := s.state()
		switch {
		case silent && (due || version > position.Version):
			return fleet.Snapshot{}, unanswered(ctx, wait)
		case version > position.Version:
			return s.snapshot(version), nil
		case due:
			return fleet.Snapshot{Position: position}, nil
		}
		select {
		case <-changed:
		case <-deadline:
			due = true
		case <-ctx.Done():
			return fleet.Snapshot{}, ctx.Err()
		}
	}
}

func (s *silentStore) Servers(ctx context.Context) (fleet.Registry, error) {
	if s.call() {
		return fleet.Registry{}, unanswered(ctx, 0)
	}
	return fleet.Registry{Position: fleet.Position{Version: 1}}, nil
}

func (s *silentStore) DecodeConfig([]byte) (*fleet.Config, error) { return nil, nil }

// startWatchers starts n watchers that share the lists of servers that they read, but no
// configuration: each must learn of it from the store.
func startWatchers(t *testing.T, s *silentStore, n int) []*Watcher {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	names, all := make([]string, n), make([]*Watcher, n)
	for i := range all {
		names[i] = fmt.Sprintf("edge-%03d", i)
		all[i] = New(s, nil, decisionlog.New(decisionlog.Options{Out: discard{}}))
		staggerBy(all[i], i)
	}
	for i, w := range all {
		w.OnRead(func(d Document) {
			if d.Kind != KindServers {
				return
			}
			time.AfterFunc(shareDelay, func() {
				for j, peer := range all {
					if j != i {
						_ = peer.ApplyDocument(Document{Kind: d.Kind, Version: d.Version, Body: d.Body, Age: d.Age + shareDelay})
					}
				}
			})
		})
		peers := append(append([]string(nil), names[:i]...), names[i+1:]...)
		running.Go(func() { w.RunConfig(ctx) })
		running.Go(func() {
			w.RunServers(ctx, func(attempted, asOf time.Time) time.Time {
				return mesh.NextRead(names[i], peers, attempted, asOf)
			})
		})
	}
	return all
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

func staggerBy(w *Watcher, rank int) { w.StaggerBy(func() int { return rank }) }

// timeToVersion returns the time from start until all watchers use a version.
func timeToVersion(t *testing.T, all []*Watcher, version int64, start time.Time) time.Duration {
	t.Helper()
	for _, w := range all {
		for w.Current().Config == nil || w.Current().Config.Version < version {
			if time.Since(start) > waitLength+2*callMargin {
				t.Fatalf("version %d is not in force", version)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

// TestSilenceAtManyEntries makes the store silent for 3.2 s while the waits of all entries
// are answered. Each entry must learn of the configuration by itself soon after the store's
// return, without a burst of calls.
func TestSilenceAtManyEntries(t *testing.T) {
	const (
		length   = 3200 * time.Millisecond
		maxDelay = 2 * time.Second
	)
	for _, n := range []int{5, 18, 103} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			s := &silentStore{version: 1, changed: make(chan struct{})}
			all := startWatchers(t, s, n)
			timeToVersion(t, all, 1, time.Now())
			time.Sleep(2 * time.Second) // the first reads of all entries
			s.setSilent(true)
			s.write()
			time.Sleep(length)
			s.setSilent(false)
			returned := time.Now()
			took := timeToVersion(t, all, 2, returned)
			calls, most := s.callsSince(returned)
			t.Logf("%d entries: in force after %v; %d calls since, at most %d in %v", n, took, calls, most, callWindow)
			assert.Assert(t, took < maxDelay, "in force after %v", took)
		})
	}
}
