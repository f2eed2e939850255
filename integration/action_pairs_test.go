package integration

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/plain"
)

// trouble is one fault with its end.
type trouble struct {
	name       string
	begin, end func() error
}

func troubles(c *cluster.Cluster, proxies *proxy.Server) []trouble {
	e, s := c.Entry(1), c.Plain(1)
	link := proxies.Channel(e.Name, s.Name, cluster.ChannelData)
	control := proxies.Between(e.Name, s.Name)
	store := func(f faults.Settings) func() error {
		return func() error { return c.Fault(c.StandIn.Settings.TableAddress, f) }
	}
	healed := store(faults.Settings{})
	return []trouble{
		{"entry killed", e.Kill, e.Start},
		{"entry frozen", e.Freeze, e.Resume},
		{"side process killed", s.Kill, s.Start},
		{"side process frozen", s.Freeze, s.Resume},
		{"answers lost", link.LoseAnswers, func() error { return link.Heal(context.Background()) }},
		{"connections cut", control.Cut, control.Restore},
		{"store down", store(faults.Settings{Down: true}), healed},
		{"store answers lost", store(faults.Settings{LoseAnswers: true, Match: "PutItem"}), healed},
	}
}

// sameTarget reports whether the second fault would undo or forbid the first.
func sameTarget(i, j int) bool { return i/2 == j/2 }

// TestTwoFaultsAtOnce brings about every pair of faults while an action runs.
func TestTwoFaultsAtOnce(t *testing.T) {
	t.Parallel()
	c, proxies := actionCluster(t, 2, 1)
	behave(t, c.Plain(1), plain.Behaviour{BeforeMS: 300, DelayMS: 500})
	all := troubles(c, proxies)
	told := map[string][]wire.Outcome{}
	for i, first := range all {
		for j, second := range all[:i] {
			if sameTarget(i, j) {
				continue
			}
			key := fmt.Sprintf("%d-%d", j, i)
			t.Logf("%s: %s, %s", key, first.name, second.name)
			told[key] = both(t, c, key, second, first)
		}
	}
	for key, outcomes := range told {
		settled(t, c, key, outcomes)
	}
}

// both asks for an action at the first entry, brings about the faults in its
// midst, ends them, and asks again at the second entry.
func both(t *testing.T, c *cluster.Cluster, key string, one, two trouble) []wire.Outcome {
	t.Helper()
	first := charging(c.Entry(1), key, "x")
	time.Sleep(150 * time.Millisecond)
	assert.NilError(t, one.begin())
	assert.NilError(t, two.begin())
	time.Sleep(time.Second)
	assert.NilError(t, two.end())
	assert.NilError(t, one.end())
	cluster.Eventually(t, cluster.Ready(c.Entry(1).Settings.AdminAddress))
	cluster.Eventually(t, cluster.Ready(c.Plain(1).Settings.AdminAddress))
	again := charge(t, c.Entry(2), key, "x")
	out := []wire.Outcome{again.outcome()}
	if a := <-first; a.cut == nil {
		out = append(out, a.outcome())
	}
	charged(t, c)
	return out
}

// settled waits until the system knows what became of the action and compares
// that, and what callers were told, with what the service ran.
func settled(t *testing.T, c *cluster.Cluster, key string, told []wire.Outcome) {
	t.Helper()
	var status int
	var outcome wire.Outcome
	cluster.Eventually(t, func() error {
		status, outcome = outcomeOf(t, c.Entry(2), key)
		if status != http.StatusOK && status != http.StatusNotFound {
			return fmt.Errorf("%s: status %d", key, status)
		}
		if outcome == wire.OutcomeUnknown && status == http.StatusOK && !slices.Contains(listed(t, c), key) {
			return fmt.Errorf("%s is unknown and not on the list", key)
		}
		return nil
	})
	runs := len(calls(t, c, key))
	t.Logf("%s: told %v, stored %d %s, %d runs", key, told, status, outcome, runs)
	assert.Assert(t, runs <= 1, "%s ran twice", key)
	if slices.Contains(told, wire.OutcomeCompleted) || outcome == wire.OutcomeCompleted {
		assert.Equal(t, runs, 1, key)
	}
	if status == http.StatusNotFound || outcome == wire.OutcomeNotRun {
		assert.Equal(t, runs, 0, key)
	}
	if len(told) == 2 && told[0] == wire.OutcomeNotRun && told[1] == wire.OutcomeNotRun {
		assert.Equal(t, runs, 0, key)
	}
}
