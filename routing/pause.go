package routing

import "time"

// A server reads prompts between the tokens of its running streams, so that several
// prompts that begin within a pause's objective stall all of them. Short prompts are
// read sooner than other entries report them: the work that is left says little about
// what an entry sent a moment ago, and entries that all see a server free choose it at
// once. Each entry therefore spreads its own prompts over time and servers by what it
// sent itself, which it knows exactly, and prefers servers with fewer streams to stall.

const (
	// recentHalfLife is the half-life of the recent work: within the pauses that
	// streams may make, and longer than entries take to hear of each other's requests.
	recentHalfLife = 150 * time.Millisecond
	recentWeight   = 1.5  // cost of the recent work at a server, which may not be read yet
	stallWeight    = 0.08 // cost of the delay of each request in progress by the prompt

	// maxPromptStall is the part of a prompt's work that counts as recent: a server reads
	// no more than a chunk of it between two tokens of its streams.
	maxPromptStall = chunkTokens * initialPerToken
)

// recentWork is the work that an entry sent to a server, decaying with recentHalfLife.
type recentWork struct {
	sum time.Duration
	at  time.Time // when sum was computed
}

func (r *recentWork) add(work time.Duration, now time.Time) {
	r.sum = r.value(now) + min(work, maxPromptStall)
	r.at = now
}

func (r *recentWork) value(now time.Time) time.Duration {
	if r.sum == 0 {
		return 0
	}
	return time.Duration(float64(r.sum) * decay(now.Sub(r.at), recentHalfLife))
}

// pauseCost returns the cost of the pauses that a prompt of the given work causes in the
// streams of a server.
func (s *EngineServer) pauseCost(load *Load, work time.Duration, now time.Time) time.Duration {
	cost := recentWeight * float64(s.Batch.recent.value(now))
	cost += stallWeight * float64(load.Running+load.Waiting) * float64(work)
	return time.Duration(cost)
}
