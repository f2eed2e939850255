// Package view keeps what an entry knows of the deployment: the configuration
// in force and the backend servers that are registered.
package view

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
)

const (
	// configWait is how long one call waits for the next configuration. A call
	// that is lost without a sign delays a configuration by no more than this.
	configWait = 20 * time.Second

	retryPause = 150 * time.Millisecond // after a failed call
	retryMost  = 600 * time.Millisecond // the pause doubles up to this

	// serversEvery is the time between two readings of the registrations: a
	// third of the shortest time in which a draining server must be left alone.
	serversEvery = 800 * time.Millisecond

	// lapseGrace is how long a server that was missing at the end of an outage of
	// the store stays known: live servers are registered again within 2 s.
	lapseGrace = 2300 * time.Millisecond
)

// Watcher keeps the view up to date. Both Run duties must be running.
type Watcher struct {
	directory fleet.Directory
	regions   map[string]string
	log       *decisionlog.Log
	logger    logrus.FieldLogger // into the same log

	current     atomic.Pointer[fleet.View]
	started     time.Time
	configHeard atomic.Int64 // when the store last answered for the configuration, in nanoseconds since started

	mu          sync.Mutex
	position    int64     // of the newest registrations
	outageStart time.Time // of the last outage of the store
	outageEnd   time.Time // of the last outage of the store; zero when there was none
	outage      bool
	unreadable  map[string]bool
	listeners   []func(*fleet.View)
}

// New returns a watcher with an empty view. regions names the region of each
// availability zone.
func New(directory fleet.Directory, regions map[string]string, log *decisionlog.Log) *Watcher {
	w := &Watcher{started: time.Now(), directory: directory, regions: regions, log: log, logger: log.Logger(), unreadable: map[string]bool{}}
	w.current.Store(&fleet.View{Regions: regions})
	return w
}

// Current returns the view at this moment.
func (w *Watcher) Current() *fleet.View { return w.current.Load() }

// ConfigAge returns the time since the store last answered for the configuration.
func (w *Watcher) ConfigAge() time.Duration {
	return time.Since(w.started) - time.Duration(w.configHeard.Load())
}

// OnChange registers a function that is called after each change of the view.
// It is called before the duties start, and must not block.
func (w *Watcher) OnChange(f func(*fleet.View)) { w.listeners = append(w.listeners, f) }

// RunConfig follows the configuration until ctx ends.
func (w *Watcher) RunConfig(ctx context.Context) {
	pause := retryPause
	var position int64
	known := false
	for ctx.Err() == nil {
		var s fleet.Snapshot
		var err error
		if known {
			s, err = w.directory.NextConfig(ctx, position, configWait)
		} else {
			s, err = w.directory.Config(ctx)
		}
		if fault.Is(err, fault.KindNotFound) {
			err = nil
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil && !fault.Is(err, fault.KindInvalid) {
			known = known && !fault.Is(err, fault.KindConflict)
			event.Log(w.logger, event.ConfigFailed, event.Err(err))
			_ = clock.Sleep(ctx, pause)
			pause = min(2*pause, retryMost)
			continue
		}
		if err != nil {
			event.Log(w.logger, event.ConfigFailed, event.Err(err))
		}
		pause = retryPause
		w.configHeard.Store(int64(time.Since(w.started)))
		known, position = true, s.Position
		if s.Config != nil {
			w.Apply(s.Config)
		}
	}
}

// Apply puts a configuration in force unless a newer one is.
func (w *Watcher) Apply(c *fleet.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current.Load()
	if old.Config != nil && old.Config.Version >= c.Version {
		return
	}
	next := *old
	next.Config = c
	w.store(&next)
	w.log.Write(replaced(old.Config, c))
}

// RunServers reads the registrations until ctx ends.
func (w *Watcher) RunServers(ctx context.Context) {
	for ctx.Err() == nil {
		w.Refresh(ctx)
		_ = clock.Sleep(ctx, serversEvery)
	}
}

// Refresh reads the registrations once.
func (w *Watcher) Refresh(ctx context.Context) {
	asked := time.Now()
	reg, err := w.directory.Servers(ctx)
	if err != nil {
		w.lost(err)
		return
	}
	w.Take(reg, asked)
}

func (w *Watcher) lost(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.outage {
		w.outageStart = time.Now()
		w.log.Write(decisionlog.StoreLost{Call: "servers", Err: err})
	}
	w.outage = true
}

// Take applies registrations that were asked for at the given time.
func (w *Watcher) Take(reg fleet.Registry, asked time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reg.Position < w.position {
		return
	}
	w.position = reg.Position
	if w.outage {
		w.outage, w.outageEnd = false, time.Now()
		w.log.Write(decisionlog.StoreRegained{Call: "servers", Down: w.outageEnd.Sub(w.outageStart)})
	}
	w.noteUnreadable(reg.Unreadable)
	old := w.current.Load()
	keep := !w.outageEnd.IsZero() && time.Since(w.outageEnd) < lapseGrace
	next := *old
	next.Servers = fleet.Merge(old.Servers, reg, keep)
	next.ServersRead = asked
	w.store(&next)
	for _, r := range changes(old.Servers, next.Servers, time.Since(asked)) {
		w.log.Write(r)
	}
}

// noteUnreadable logs each row that cannot be understood once.
func (w *Watcher) noteUnreadable(keys []string) {
	for _, k := range keys {
		if !w.unreadable[k] {
			w.log.Write(decisionlog.ServerChanged{Change: decisionlog.ServerUnreadable, Server: k})
		}
		w.unreadable[k] = true
	}
}

func (w *Watcher) store(v *fleet.View) {
	w.current.Store(v)
	for _, f := range w.listeners {
		f(v)
	}
}
