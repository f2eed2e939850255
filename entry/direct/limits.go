package direct

import (
	"peridotchute.example/common/decisionlog"
	"peridotchute.example/entry/direct/balance"
	"peridotchute.example/entry/direct/mesh"
)

// sendLimits tells an entry that has connected which servers limit their rate.
func (c *coordination) sendLimits(peer string) {
	if limits := c.balancer.Limits(); len(limits) > 0 {
		c.mesh.Send(peer, methodLimits, limits)
	}
}

// handleLimits registers the message about servers' limits from other entries.
func (c *coordination) handleLimits(log *decisionlog.Log) {
	mesh.HandleBroadcast(c.mesh, methodLimits, func(from string, limits []balance.ServerLimit) {
		for _, l := range c.balancer.ApplyLimits(limits) {
			log.Write(decisionlog.ServerLimited{Server: l.Server, Limited: l.Limited, PerSecond: l.PerSecond, Source: from})
		}
	})
}
