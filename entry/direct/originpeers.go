package direct

import (
	"context"
	"time"

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
func (p originPeers) Send(peer string, m origins.Records) { p.mesh.Send(peer, methodRecords, m) }

// SendUsages implements origins.Peers.
func (p originPeers) SendUsages(peer string, u []origins.Usage) {
	p.mesh.Send(peer, methodUsages, u)
}

// SendProgress implements origins.Peers.
func (p originPeers) SendProgress(peer string, progress origins.Progress) {
	p.mesh.Send(peer, methodProgress, progress)
}

// Members implements origins.Peers.
func (p originPeers) Members() (names []string, read time.Time) { return p.mesh.Members() }

// RefreshMembers implements origins.Peers.
func (p originPeers) RefreshMembers() { p.mesh.RefreshMembers() }

// Restarted implements origins.Peers.
func (p originPeers) Restarted() bool { return p.mesh.Restarted() }

// Ask implements origins.Peers and logs a failure.
func (p originPeers) Ask(ctx context.Context, peer string, s origins.Stream) (origins.Answer, error) {
	a, err := mesh.Call[origins.Stream, origins.Answer](ctx, p.mesh, peer, methodOrigin, s)
	if err != nil && ctx.Err() == nil {
		event.Log(p.log, event.OriginNotAsked, event.Peer(peer), event.Subject(s.ID), event.Err(err))
	}
	return a, err
}

// handleOrigins registers the messages and calls about origins from other entries.
func (c *coordination) handleOrigins() {
	mesh.HandleBroadcast(c.mesh, methodRecords, func(from string, m origins.Records) { c.origins.Receive(from, m) })
	mesh.HandleBroadcast(c.mesh, methodUsages, func(_ string, u []origins.Usage) { c.origins.ReceiveUsages(u) })
	mesh.HandleBroadcast(c.mesh, methodProgress, func(from string, p origins.Progress) { c.origins.ReceiveProgress(from, p) })
	mesh.Handle(c.mesh, methodOrigin, func(_ context.Context, _ string, s origins.Stream) (origins.Answer, error) {
		return c.origins.Lookup(s), nil
	})
}

// handleStoreFailures notes reads of the store that fail. The entry that reads the registrations for
// all tells the others at once: they would notice when their list is older than usual.
func (c *coordination) handleStoreFailures() {
	c.watcher.OnReadFailure(func(began time.Time, first bool) {
		c.origins.StoreFailed(began)
		if first && mesh.RegistryReader(c.name, c.mesh.Connected()) == c.name {
			c.mesh.Broadcast(methodFailure, struct{}{})
		}
	})
	mesh.HandleBroadcast(c.mesh, methodFailure, func(string, struct{}) { c.origins.StoreFailed(time.Now()) })
}
