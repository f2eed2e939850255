package direct

import (
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/fleet"
)

// sendLeaving tells an entry that has connected which servers have said that they leave.
func (c *coordination) sendLeaving(peer string) {
	if leaving := c.watcher.Leaving(); len(leaving) > 0 {
		c.mesh.Send(peer, methodLeaving, leaving)
	}
}

// handleLeaving tells the other entries, at once, which servers say that they leave, and
// registers the message.
func (c *coordination) handleLeaving() {
	c.watcher.OnLeaving(func(s fleet.Incarnation) { c.mesh.Broadcast(methodLeaving, []fleet.Incarnation{s}) })
	mesh.HandleBroadcast(c.mesh, methodLeaving, func(from string, leaving []fleet.Incarnation) {
		for _, s := range leaving {
			c.watcher.PeerSaysLeaving(s, from)
		}
	})
}
