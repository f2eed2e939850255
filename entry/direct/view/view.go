// Package view maintains an entry's view of the deployment: the active
// configuration and the registered backend servers.
package view

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
)

const (
	retryPause    = 150 * time.Millisecond // delay after the first failed call
	maxRetryPause = 600 * time.Millisecond // bounds the delay, which doubles with each consecutive failure
)

// Watcher keeps the view up to date while RunConfig and RunServers are running.
type Watcher struct {
	directory fleet.Directory
	regions   map[string]string
	region    string // of this entry; empty if unknown
	log       *decisionlog.Log
	logger    logrus.FieldLogger // writes to the same log

	current      atomic.Pointer[fleet.View]
	era          *storeEra
	started      time.Time
	configReadAt atomic.Int64 // when the store last answered a configuration request, in nanoseconds since started

	mu           sync.Mutex
	position     fleet.Position // of the newest registrations in the store's history
	appliedAt    time.Time      // when they were applied
	wentBackAt   time.Time      // start of the latest read that showed lower versions of the store than before; zero if none has
	failingSince time.Time      // start of the store outage for this entry; zero while the store answers
	reads        storeReads
	unreadable   map[string]bool      // keys of registrations that could not be decoded and were logged
	ignoring     bool                 // a list has been ignored since the last one that was applied
	registered   map[string]time.Time // when the newest list with a readable registration of a server was requested, by ID
	listeners    []func(*fleet.View)
	share        func(Document)
	leaving      leavingServers
	shareLeaving func(Leaving)
	readFailed   func(began time.Time, first bool)
	wait         configWait
	checks       errgroup.Group // calls of checkConfig
}

// New returns a Watcher with an empty view. regions maps each availability zone
// to its region.
func New(directory fleet.Directory, regions map[string]string, log *decisionlog.Log) *Watcher {
	w := &Watcher{
		readFailed: func(time.Time, bool) {},
		started:    time.Now(),
		directory:  directory,
		regions:    regions,
		log:        log,
		logger:     log.Logger(),
		unreadable: map[string]bool{},
		era:        newStoreEra(),
		share:      func(Document) {},

		leaving:      newLeavingServers(),
		shareLeaving: func(Leaving) {},
		wait:         configWait{rank: func() int { return 0 }},
	}
	w.checks.SetLimit(maxConfigChecks)
	w.current.Store(&fleet.View{Regions: regions})
	return w
}

// SetRegion sets the region of this entry. It must be called before the Run methods.
func (w *Watcher) SetRegion(region string) { w.region = region }

// Current returns the current view.
func (w *Watcher) Current() *fleet.View { return w.current.Load() }

// ConfigAge returns the time since the store last answered a configuration
// request.
func (w *Watcher) ConfigAge() time.Duration {
	return time.Since(w.started) - time.Duration(w.configReadAt.Load())
}

// OnReadFailure calls f after each read of the registrations that failed, with the time at which it
// began. first is set if the one before succeeded. Call it before the watcher runs.
func (w *Watcher) OnReadFailure(f func(began time.Time, first bool)) { w.readFailed = f }

// OnChange adds a function that is called after each change of the view. It
// must be called before the Run methods, and f must not block.
func (w *Watcher) OnChange(f func(*fleet.View)) { w.listeners = append(w.listeners, f) }

// RunConfig reads the configuration and its changes until ctx is done.
func (w *Watcher) RunConfig(ctx context.Context) {
	pause := retryPause
	known := false
	for ctx.Err() == nil {
		var s fleet.Snapshot
		var err error
		if known {
			s, err = w.waitForConfig(ctx)
		} else {
			s, err = w.wholeConfig(ctx)
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
			pause = min(2*pause, maxRetryPause)
			continue
		}
		if err != nil {
			event.Log(w.logger, event.ConfigFailed, event.Err(err))
		}
		pause = retryPause
		w.recordConfigRead()
		if s.Config != nil {
			w.applyRead(s, decisionlog.SourceStore)
		}
		if known {
			w.wait.advance(s.Position)
		} else {
			w.wait.restart(s.Position)
		}
		known = true
	}
}

// recordConfigRead records that the store has answered a configuration request.
func (w *Watcher) recordConfigRead() { w.configReadAt.Store(int64(time.Since(w.started))) }

// applyRead applies a configuration that was read from the store and shares it. It reports
// whether the configuration changed.
func (w *Watcher) applyRead(s fleet.Snapshot, source string) bool {
	if !w.Apply(s.Config, source) {
		return false
	}
	w.share(Document{Kind: KindConfig, Version: s.Config.Version, Body: s.Raw})
	return true
}

// Apply makes c the active configuration unless the active version is the same
// or newer. It reports whether the configuration changed. source is where c came from, for
// the log.
func (w *Watcher) Apply(c *fleet.Config, source string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.current.Load()
	if old.Config != nil && old.Config.Version >= c.Version {
		return false
	}
	next := *old
	next.Config = c
	w.setView(&next)
	w.log.Write(configReplaced(old.Config, c, source))
	return true
}

func (w *Watcher) setView(v *fleet.View) {
	w.current.Store(v)
	for _, f := range w.listeners {
		f(v)
	}
}
