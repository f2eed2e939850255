// Package follower keeps the side process's configuration equal to the newest
// version that any connected entry knows.
package follower

import (
	"context"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/config"
	"peridotchute.example/rpc"
)

// Follower takes offers of configurations.
type Follower struct {
	holder *config.Holder
	log    logrus.FieldLogger
}

// New returns a follower that fills holder and registers its control handler.
func New(holder *config.Holder, handlers *rpc.Handlers, log logrus.FieldLogger) *Follower {
	f := &Follower{holder: holder, log: log}
	rpc.Handle(handlers, rpc.MethodOffer, f.onOffer)
	return f
}

// onOffer fetches the configuration from the peer when it is newer.
func (f *Follower) onOffer(ctx context.Context, p *rpc.Peer, o rpc.Offer) (rpc.OfferReply, error) {
	if o.Version > f.holder.Version() {
		f.fetch(ctx, p)
	}
	return rpc.OfferReply{Version: f.holder.Version()}, nil
}

func (f *Follower) fetch(ctx context.Context, p *rpc.Peer) {
	reply, err := rpc.Call[rpc.Fetch, rpc.FetchReply](ctx, p, rpc.MethodFetch, rpc.Fetch{Since: f.holder.Version()})
	if err != nil {
		event.Log(f.log, event.ConfigFailed, event.Peer(p.Identity.Name), event.Err(err))
		return
	}
	if reply.Configuration != nil && f.holder.Offer(reply.Configuration) {
		event.Log(f.log, event.ConfigInForce, event.Count(int64(reply.Configuration.Version)))
	}
}
