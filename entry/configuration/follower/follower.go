// Package follower keeps the entry's configuration equal to the newest accepted
// version that the platform's service has.
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
	pollInterval  = 2 * time.Second // mean time between reads of the head
	longestPause  = 8 * time.Second // while the platform fails
	startSpread   = time.Second     // over which processes started at once read first
	pollSpread    = 0.5             // share of the pause by which it varies
	pauseMultiply = 2               // after each failure
)

// Options configure a Follower.
type Options struct {
	Store  *publish.Store
	Holder *config.Holder
	Log    logrus.FieldLogger
	Rand   *rand.Rand
}

// Follower polls the table for accepted versions. It is the second way for a
// version to come; the first is an offer of a peer.
type Follower struct {
	opts   Options
	pause  time.Duration
	failed bool
}

// New returns a follower that fills the holder.
func New(opts Options) *Follower { return &Follower{opts: opts, pause: pollInterval} }

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	_ = clock.Sleep(ctx, time.Duration(f.opts.Rand.Int64N(int64(startSpread))))
	for ctx.Err() == nil {
		f.poll(ctx)
		_ = clock.Sleep(ctx, f.jitter(f.pause))
	}
}

// jitter varies a pause, so that processes started together drift apart.
func (f *Follower) jitter(d time.Duration) time.Duration {
	factor := 1 + pollSpread*(2*f.opts.Rand.Float64()-1)
	return time.Duration(factor * float64(d))
}

// poll reads the newest version and puts it in force. What peers have given
// meanwhile is not read again.
func (f *Follower) poll(ctx context.Context) {
	if index := f.opts.Holder.Current(); index != nil {
		f.opts.Store.Learn(index.Configuration)
	}
	c, err := f.opts.Store.Read(ctx)
	if ctx.Err() != nil {
		return
	}
	f.note(err)
	if err != nil {
		return
	}
	if f.opts.Holder.Offer(c) {
		event.Log(f.opts.Log, event.ConfigInForce, event.Count(int64(c.Version)))
	}
}

// note adapts the pause to the outcome of a poll.
func (f *Follower) note(err error) {
	if err == nil || fault.Is(err, fault.KindNotFound) {
		if f.failed {
			event.Log(f.opts.Log, event.StoreBack)
		}
		f.failed, f.pause = false, pollInterval
		return
	}
	event.Log(f.opts.Log, event.ConfigFailed, event.Err(err))
	f.failed, f.pause = true, min(f.pause*pauseMultiply, longestPause)
}
