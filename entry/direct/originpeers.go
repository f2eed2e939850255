package direct

import (
	"context"

	"github.com/sirupsen/logrus"

	"peridotchute.example/common/event"
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/entry/direct/origins"
)

// originPeers implements origins.Peers over the mesh.
type originPeers struct {
	mesh *mesh.Mesh
	log  logrus.FieldLogger
}

// Connected implements origins.Peers.
func (p originPeers) Connected() []string { return p.mesh.Connected() }

// Send implements origins.Peers.
func (p originPeers) Send(peer string, began origins.Began) { p.mesh.Send(peer, methodBegan, began) }

// Ask implements origins.Peers and logs a failure.
func (p originPeers) Ask(ctx context.Context, peer string, s origins.Stream) (origins.Answer, error) {
	a, err := mesh.Call[origins.Stream, origins.Answer](ctx, p.mesh, peer, methodOrigin, s)
	if err != nil && ctx.Err() == nil {
		event.Log(p.log, event.OriginNotAsked, event.Peer(peer), event.Subject(s.ID), event.Err(err))
	}
	return a, err
}

// handleOrigins registers the calls about origins from other entries.
func (c *coordination) handleOrigins() {
	mesh.HandleBroadcast(c.mesh, methodBegan, func(_ string, b origins.Began) { c.origins.Receive(b) })
	mesh.Handle(c.mesh, methodOrigin, func(_ context.Context, _ string, s origins.Stream) (origins.Answer, error) {
		return c.origins.Lookup(s), nil
	})
}
