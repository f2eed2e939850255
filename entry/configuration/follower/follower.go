// Package follower polls the platform's table service for the newest accepted
// configuration version and makes it active at this entry.
package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/clock"
	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
)

const (
	pollInterval    = 2 * time.Second // mean time between polls
	maxPollInterval = 8 * time.Second // upper limit of the backoff while the platform fails
	startJitter     = time.Second     // the first poll is delayed by a random time up to this
	pollJitter      = 0.5             // each interval varies by up to this share in both directions
	backoffFactor   = 2               // growth of the interval after each failure
)

// Options configure a Follower.
type Options struct {
	Store  *publish.Store
	Holder *config.Holder
	Log    logrus.FieldLogger
	Rand   *rand.Rand
}

// Follower polls the table for accepted versions. Usually a peer offers a new
// version first; polling is the fallback.
type Follower struct {
	opts     Options
	interval time.Duration
	failed   bool
}

// New returns a Follower that sets the configuration in opts.Holder.
func New(opts Options) *Follower { return &Follower{opts: opts, interval: pollInterval} }

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	_ = clock.Sleep(ctx, time.Duration(f.opts.Rand.Int64N(int64(startJitter))))
	for ctx.Err() == nil {
		f.poll(ctx)
		_ = clock.Sleep(ctx, f.jitter(f.interval))
	}
}

// jitter varies an interval at random, so that processes started together don't
// poll at the same time.
func (f *Follower) jitter(d time.Duration) time.Duration {
	factor := 1 + pollJitter*(2*f.opts.Rand.Float64()-1)
	return time.Duration(factor * float64(d))
}

// poll reads the newest version and makes it active. A version that a peer has
// already supplied is not read again.
func (f *Follower) poll(ctx context.Context) {
	if index := f.opts.Holder.Current(); index != nil {
		f.opts.Store.Learn(index.Configuration)
	}
	c, err := f.opts.Store.Read(ctx)
	if ctx.Err() != nil {
		return
	}
	f.recordResult(err)
	if err != nil {
		return
	}
	if f.opts.Holder.Offer(c) {
		event.Log(f.opts.Log, event.ConfigInForce, event.Count(int64(c.Version)))
	}
}

// recordResult sets the polling interval after a poll that returned err, and
// logs failures and the recovery from them.
func (f *Follower) recordResult(err error) {
	if err == nil || fault.Is(err, fault.KindNotFound) {
		if f.failed {
			event.Log(f.opts.Log, event.StoreBack)
		}
		f.failed, f.interval = false, pollInterval
		return
	}
	event.Log(f.opts.Log, event.ConfigFailed, event.Err(err))
	f.failed, f.interval = true, min(f.interval*backoffFactor, maxPollInterval)
}
