package mesh

import "time"

const (
	// nearInterval is between updates to a peer of the same region; routing
	// tolerates a load that is this old.
	nearInterval = 60 * time.Millisecond
	// farInterval is the same for other regions, to which bytes are dear and
	// a message takes a noticeable part of it.
	farInterval = 120 * time.Millisecond
	// heartbeatInterval is between updates that tell nothing; three fit into silenceLimit.
	heartbeatInterval = 300 * time.Millisecond
	// silenceLimit is how long a peer may say nothing before its connection is given up.
	silenceLimit = time.Second
	// heartbeatsMissed is how many heartbeats may be missing, where they are rarer.
	heartbeatsMissed = 3
	// maxMessagesPerSecond bounds the updates that one process sends, and with
	// them the processor time that many peers take.
	maxMessagesPerSecond = 240
	// farMessagesPerSecond is the bound that peers of other regions follow: half of
	// a large mesh is there, and each message is some hundred bytes.
	farMessagesPerSecond = 96
	// gossipInterval is between tellings of what most peers know already: the
	// entries that are connected, and documents that came from a peer.
	gossipInterval = time.Second
	// sendSlack is how much earlier an update may leave to share a wake-up with others.
	sendSlack = 30 * time.Millisecond
)

// updateInterval returns the time between updates to a peer.
func updateInterval(sameRegion bool, peers int) time.Duration {
	if sameRegion {
		return max(nearInterval, time.Duration(peers)*time.Second/maxMessagesPerSecond)
	}
	return max(farInterval, time.Duration(peers)*time.Second/farMessagesPerSecond)
}

// heartbeat returns the longest time between updates to any peer.
func heartbeat(peers int) time.Duration {
	return max(heartbeatInterval, updateInterval(false, peers))
}

// patience returns the silence after which a peer that announced the time to
// its next update is given up.
func patience(next time.Duration) time.Duration {
	return max(silenceLimit, heartbeatsMissed*next)
}
