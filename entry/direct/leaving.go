package direct

import (
	"peridotchute.example/entry/direct/mesh"
	"peridotchute.example/entry/direct/view"
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
	c.watcher.OnLeaving(func(l view.Leaving) { c.mesh.Broadcast(methodLeaving, []view.Leaving{l}) })
	mesh.HandleBroadcast(c.mesh, methodLeaving, func(from string, leaving []view.Leaving) {
		for _, l := range leaving {
			c.watcher.PeerSaysLeaving(l, from)
		}
	})
}
