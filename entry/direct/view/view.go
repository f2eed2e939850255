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

	mu         sync.Mutex
	position   int64     // of the newest registrations
	lostSince  time.Time // since when the store does not answer this entry; zero while it does
	gapSince   time.Time // the same, but zero as well once a peer has read the registrations since
	outageEnd  time.Time // of the last outage of the store; zero when there was none
	unreadable map[string]bool
	listeners  []func(*fleet.View)
	share      func(Document)
}

// New returns a watcher with an empty view. regions names the region of each
// availability zone.
func New(directory fleet.Directory, regions map[string]string, log *decisionlog.Log) *Watcher {
	w := &Watcher{
		started:    time.Now(),
		directory:  directory,
		regions:    regions,
		log:        log,
		logger:     log.Logger(),
		unreadable: map[string]bool{},
		share:      func(Document) {},
	}
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
		if s.Config != nil && w.Apply(s.Config) {
			w.share(Document{Kind: KindConfig, Version: s.Config.Version, Body: s.Raw})
		}
	}
}

// Apply puts a configuration in force unless it or a newer one is already,
// and reports whether it did.
func (w *Watcher) Apply(c *fleet.Config) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current.Load()
	if old.Config != nil && old.Config.Version >= c.Version {
		return false
	}
	next := *old
	next.Config = c
	w.store(&next)
	w.log.Write(replaced(old.Config, c))
	return true
}

func (w *Watcher) store(v *fleet.View) {
	w.current.Store(v)
	for _, f := range w.listeners {
		f(v)
	}
}
