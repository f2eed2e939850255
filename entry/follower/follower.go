// Package follower keeps the entry's configuration equal to the newest accepted
// version.
package follower

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/common/fault"
	"peridotchute.example/config"
	"peridotchute.example/config/publish"
)

const pollInterval = time.Second

// Options configure a Follower.
type Options struct {
	Store  *publish.Store
	Holder *config.Holder
	Log    logrus.FieldLogger
}

// Follower polls the table for accepted versions.
type Follower struct {
	opts Options
}

// New returns a follower that fills the holder.
func New(opts Options) *Follower { return &Follower{opts: opts} }

// Run polls until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		f.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll reads the newest version and puts it in force.
func (f *Follower) poll(ctx context.Context) {
	c, err := f.opts.Store.Read(ctx)
	if fault.Is(err, fault.KindNotFound) || ctx.Err() != nil {
		return
	}
	if err != nil {
		event.Log(f.opts.Log, event.ConfigFailed, event.Err(err))
		return
	}
	if f.opts.Holder.Offer(c) {
		event.Log(f.opts.Log, event.ConfigInForce, event.Count(int64(c.Version)))
	}
}
