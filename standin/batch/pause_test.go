package batch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortPromptsBesideStreams is a load of short prompts and long answers whose pauses are
// limited to 200 ms. Hot models have few of the servers, two of which crash, and come up on
// others meanwhile.
func shortPromptsBesideStreams() Scenario {
	models := []Model{
		{Servers: []int{0, 1, 2, 3}, Loads: []ModelLoad{{4, 4 * time.Second, 5 * time.Second}, {5, 6 * time.Second, 7 * time.Second}}},
		{Servers: []int{0, 1, 2, 3, 4, 6, 7, 8}},
		{Servers: []int{0, 1, 2, 4, 5, 6, 7}},
	}
	shares := []float64{0.5, 0.25, 0.25}
	draft := Kind{
		Name: "draft", Priority: 1, Rate: 80, Objective: 400 * time.Millisecond, MaxGap: 200 * time.Millisecond, Deadline: 15 * time.Second, Value: 2, LateValue: 0.2,
		Input: Size{543, 0.8, 3000}, SystemTokens: 92, DocumentTokens: 80, Documents: 40, Output: Size{280, 0.69, 950}, Models: shares, MaxSends: 2, MaxRetries: 1,
	}
	note := draft
	note.Name, note.Priority, note.Rate, note.Deadline, note.Value, note.LateValue = "note", 0, 65, 4*time.Second, 1.1, 0.11
	note.Input, note.Output = Size{291, 0.8, 2000}, Size{45, 0.69, 200}
	crash := func(server int) Fault {
		return Fault{From: 8 * time.Second, Until: 10 * time.Second, Crash: true, Server: server}
	}
	return Scenario{
		Length: 15 * time.Second, Servers: 9, Entries: 5, Models: models, Kinds: []Kind{draft, note}, Faults: []Fault{crash(1), crash(2)},
		Engine: Engine{KVTokens: 127_862, Step: 5100 * time.Microsecond, PrefillPerMS: 29.4},
	}
}

// maxPausedShare is a quarter of the share of streams that paused for too long on the days
// that this load is like.
const maxPausedShare = 0.065

func TestStreamsPauseForPromptsSentAtOnce(t *testing.T) {
	r := Merge(runSeeds(shortPromptsBesideStreams(), Queued))
	var all Tally
	for _, k := range r.Kinds {
		all.add(k)
	}
	share := float64(all.Paused) / float64(all.Arrived)
	assert.Assert(t, share <= maxPausedShare, "%.3f of the streams paused for too long: %v", share, r)
}
