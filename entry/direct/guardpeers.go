package direct

import (
	"slices"

	"peridotchute.example/entry/direct/crashguard"
	"peridotchute.example/entry/direct/mesh"
)

// guardPeers implements crashguard.Peers over the mesh.
type guardPeers struct{ mesh *mesh.Mesh }

// Connected implements crashguard.Peers.
func (p guardPeers) Connected() []string { return p.mesh.Connected() }

// Complete implements crashguard.Peers.
func (p guardPeers) Complete() bool {
	return !slices.ContainsFunc(p.mesh.Peers(), func(s mesh.PeerState) bool { return !s.Connected })
}

// BroadcastCrash implements crashguard.Peers.
func (p guardPeers) BroadcastCrash(r crashguard.CrashReport) { p.mesh.Broadcast(methodCrash, r) }

// BroadcastCleared implements crashguard.Peers.
func (p guardPeers) BroadcastCleared(causes crashguard.ClearedCauses) {
	p.mesh.Broadcast(methodCleared, causes)
}

// BroadcastEntries implements crashguard.Peers.
func (p guardPeers) BroadcastEntries(e crashguard.Entries) { p.mesh.Broadcast(methodParts, e) }

// SendEntries implements crashguard.Peers.
func (p guardPeers) SendEntries(peer string, e crashguard.Entries) {
	p.mesh.Send(peer, methodParts, e)
}

// handleCrashes registers the messages about crashes from other entries.
func (c *coordination) handleCrashes() {
	mesh.HandleBroadcast(c.mesh, methodCrash, func(_ string, r crashguard.CrashReport) { c.guard.ReceiveCrash(r) })
	mesh.HandleBroadcast(c.mesh, methodCleared, func(_ string, causes crashguard.ClearedCauses) { c.guard.ReceiveCleared(causes) })
	mesh.HandleBroadcast(c.mesh, methodParts, func(from string, e crashguard.Entries) { c.guard.ReceiveEntries(from, e) })
}
