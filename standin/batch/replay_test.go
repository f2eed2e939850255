package batch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

const seeds = 4

var played = map[string][]*Result{} // so that no pattern is played twice

func play(t *testing.T, name string, p Policy) []*Result {
	t.Helper()
	key := fmt.Sprint(name, p)
	if played[key] == nil {
		played[key] = playAnew(Patterns()[name], p)
	}
	return played[key]
}

func playAnew(sc Scenario, p Policy) []*Result {
	sc.Policy = p
	var out []*Result
	for seed := range uint64(seeds) {
		sc.Seed = seed + 1
		out = append(out, Run(sc))
	}
	return out
}

func meanWorth(results []*Result) float64 {
	sum := 0.0
	for _, r := range results {
		sum += r.Worth()
	}
	return sum / float64(len(results))
}

func TestTheLineServesMoreThanSendingAtOnce(t *testing.T) {
	for name := range Patterns() {
		t.Run(name, func(t *testing.T) {
			line, least := meanWorth(play(t, name, Line)), meanWorth(play(t, name, Least))
			assert.Assert(t, line > least, "worth %.3f, with the least busy server and no line %.3f", line, least)
		})
	}
}

// Kinds, sizes and clients are served fairly whatever the load.
func TestNoKindOrSizeIsStarved(t *testing.T) {
	for name := range Patterns() {
		t.Run(name, func(t *testing.T) {
			day := Pool(play(t, name, Line))
			var all Tally
			for _, k := range day.Kinds {
				all.add(k)
			}
			for kind, k := range day.Kinds {
				assert.Assert(t, k.Served() >= all.Served()/4, "%s: %v", kind, day)
				assert.Assert(t, k.LargestServed() >= k.Served()/2, "largest of %s: %v of %v", kind, k.LargestServed(), k.Served())
			}
			if urgent := day.Kinds["chat"]; urgent != nil {
				assert.Assert(t, urgent.Served() >= day.Kinds["brief"].Served()-0.05, "less urgent ones first: %v", day)
			}
		})
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	name := "crash of a server"
	assert.Equal(t, play(t, name, Line)[1].String(), playAnew(Patterns()[name], Line)[1].String())
}
