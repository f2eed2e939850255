package mesh

import "time"

const (
	// sameRegionInterval is the minimum interval between updates to a peer of the
	// same region. Routing tolerates load information of this age.
	sameRegionInterval = 60 * time.Millisecond
	// crossRegionInterval is the minimum interval between updates to a peer of
	// another region, where traffic is expensive and the latency is a noticeable
	// part of the interval.
	crossRegionInterval = 120 * time.Millisecond
	// minHeartbeatInterval is the minimum interval between heartbeats; three fit
	// into silenceTimeout.
	minHeartbeatInterval = 300 * time.Millisecond
	// silenceTimeout is the minimum silence after which a peer is disconnected.
	silenceTimeout = time.Second
	// maxMissedHeartbeats is the number of announced heartbeat intervals without an
	// update after which a peer is disconnected, if that exceeds silenceTimeout.
	maxMissedHeartbeats = 3
	// maxMessagesPerSecond bounds the updates that one process sends, which limits
	// the CPU time spent on a large number of peers.
	maxMessagesPerSecond = 240
	// maxCrossRegionMessagesPerSecond is the same bound for updates to other
	// regions. It is lower because half of a large mesh is in other regions and
	// each message has a few hundred bytes.
	maxCrossRegionMessagesPerSecond = 96
	// maxAnnounced is the longest interval between updates that a peer may announce.
	maxAnnounced = time.Minute
	// gossipInterval is the interval between announcements whose content most peers
	// already have: connected entries, and documents received from a peer.
	gossipInterval = time.Second
	// sendSlack is how much earlier an update may be sent to share a wake-up with
	// other updates.
	sendSlack = 30 * time.Millisecond
)

// updateInterval returns the minimum interval between updates to a peer.
func updateInterval(sameRegion bool, peers int) time.Duration {
	if sameRegion {
		return max(sameRegionInterval, time.Duration(peers)*time.Second/maxMessagesPerSecond)
	}
	return max(crossRegionInterval, time.Duration(peers)*time.Second/maxCrossRegionMessagesPerSecond)
}

// heartbeatInterval returns the maximum interval between updates to any peer.
func heartbeatInterval(peers int) time.Duration {
	return max(minHeartbeatInterval, updateInterval(false, peers))
}

// peerTimeout returns the silence after which a peer is disconnected, given the
// maximum interval between updates that it announced.
func peerTimeout(announced time.Duration) time.Duration {
	return max(silenceTimeout, maxMissedHeartbeats*announced)
}
