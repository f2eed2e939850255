package batch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const seeds = 4

var runCache = map[string][]*Result{} // by pattern and policy, so that none is run twice

func cachedRuns(t *testing.T, name string, p Policy) []*Result {
	t.Helper()
	key := fmt.Sprint(name, p)
	if runCache[key] == nil {
		runCache[key] = runSeeds(Patterns()[name], p)
	}
	return runCache[key]
}

func runSeeds(sc Scenario, p Policy) []*Result {
	sc.Policy = p
	var out []*Result
	for seed := range uint64(seeds) {
		sc.Seed = seed + 1
		out = append(out, Run(sc))
	}
	return out
}

func meanValueShare(results []*Result) float64 {
	sum := 0.0
	for _, r := range results {
		sum += r.Value()
	}
	return sum / float64(len(results))
}

func TestQueueAchievesMoreValueThanLeastBusy(t *testing.T) {
	for name := range Patterns() {
		t.Run(name, func(t *testing.T) {
			queue, leastBusy := meanValueShare(cachedRuns(t, name, Queued)), meanValueShare(cachedRuns(t, name, LeastBusy))
			assert.Assert(t, queue > leastBusy, "value %.3f, with the least busy server and no queue %.3f", queue, leastBusy)
		})
	}
}

// TestNoKindOrSizeStarves checks that under every pattern the queue serves all kinds and
// sizes: each kind at least a quarter as often as all requests, its largest requests at
// least half as often as the kind, and the more urgent chat at most 5 percentage points
// less often than brief.
func TestNoKindOrSizeStarves(t *testing.T) {
	for name := range Patterns() {
		t.Run(name, func(t *testing.T) {
			merged := Merge(cachedRuns(t, name, Queued))
			var all Tally
			for _, k := range merged.Kinds {
				all.add(k)
			}
			for kind, k := range merged.Kinds {
				assert.Assert(t, k.ServedShare() >= all.ServedShare()/4, "%s: %v", kind, merged)
				assert.Assert(t, k.LargestServedShare() >= k.ServedShare()/2, "largest of %s: %v of %v", kind, k.LargestServedShare(), k.ServedShare())
			}
			if chat := merged.Kinds["chat"]; chat != nil {
				assert.Assert(t, chat.ServedShare() >= merged.Kinds["brief"].ServedShare()-0.05, "less urgent requests were served first: %v", merged)
			}
		})
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	name := "crash of a server"
	assert.Equal(t, cachedRuns(t, name, Queued)[1].String(), runSeeds(Patterns()[name], Queued)[1].String())
}
