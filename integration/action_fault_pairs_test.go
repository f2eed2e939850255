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

// faultCase is a fault and the functions that start and end it.
type faultCase struct {
	name       string
	begin, end func() error
}

func faultCases(c *cluster.Cluster, proxies *proxy.Server) []faultCase {
	e, s := c.Entry(1), c.Plain(1)
	dataLink := proxies.Channel(e.Name, s.Name, cluster.ChannelData)
	link := proxies.Between(e.Name, s.Name)
	setStoreFaults := func(f faults.Settings) func() error {
		return func() error { return c.SetFaults(c.StandIn.Settings.TableAddress, f) }
	}
	healStore := setStoreFaults(faults.Settings{})
	return []faultCase{
		{"entry killed", e.Kill, e.Start},
		{"entry frozen", e.Freeze, e.Resume},
		{"side process killed", s.Kill, s.Start},
		{"side process frozen", s.Freeze, s.Resume},
		{"responses lost", dataLink.DropResponses, func() error { return dataLink.Heal(context.Background()) }},
		{"connections cut", link.Cut, link.Restore},
		{"store down", setStoreFaults(faults.Settings{Down: true}), healStore},
		{"store responses lost", setStoreFaults(faults.Settings{LoseResponses: true, Match: "PutItem"}), healStore},
	}
}

// sameTarget reports whether the faults at indexes i and j affect the same
// target, so that one would undo or prevent the other. The two faults of each
// target are adjacent in faultCases.
func sameTarget(i, j int) bool { return i/2 == j/2 }

// TestTwoFaultsAtOnce injects every pair of faults while an action runs.
func TestTwoFaultsAtOnce(t *testing.T) {
	t.Parallel()
	c, proxies := actionCluster(t, 2, 1)
	setBehaviour(t, c.Plain(1), plain.Behaviour{BeforeMS: 300, DelayMS: 500})
	all := faultCases(c, proxies)
	received := map[string][]wire.Outcome{}
	for i, first := range all {
		for j, second := range all[:i] {
			if sameTarget(i, j) {
				continue
			}
			key := fmt.Sprintf("%d-%d", j, i)
			t.Logf("%s: %s, %s", key, first.name, second.name)
			received[key] = runWithFaults(t, c, key, second, first)
		}
	}
	for key, outcomes := range received {
		checkOutcome(t, c, key, outcomes)
	}
}

// runWithFaults sends an action to the first entry, injects both faults while it
// runs, ends them, and repeats the action at the second entry. It returns the
// outcomes that the two callers received.
func runWithFaults(t *testing.T, c *cluster.Cluster, key string, one, two faultCase) []wire.Outcome {
	t.Helper()
	first := chargeAsync(c.Entry(1), key, "x")
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
	if resp := <-first; resp.err == nil {
		out = append(out, resp.outcome())
	}
	waitForCharge(t, c)
	return out
}

// checkOutcome waits until the action has a final outcome or is listed as
// unresolved, then compares the stored outcome and those that callers received
// with what the service ran.
func checkOutcome(t *testing.T, c *cluster.Cluster, key string, received []wire.Outcome) {
	t.Helper()
	var status int
	var outcome wire.Outcome
	cluster.Eventually(t, func() error {
		status, outcome = storedOutcome(t, c.Entry(2), key)
		if status != http.StatusOK && status != http.StatusNotFound {
			return fmt.Errorf("%s: status %d", key, status)
		}
		if outcome == wire.OutcomeUnknown && status == http.StatusOK && !slices.Contains(unresolvedKeys(t, c), key) {
			return fmt.Errorf("%s is unknown and not listed as unresolved", key)
		}
		return nil
	})
	runs := len(serviceCalls(t, c, key))
	t.Logf("%s: received %v, stored %d %s, %d runs", key, received, status, outcome, runs)
	assert.Assert(t, runs <= 1, "%s ran twice", key)
	if slices.Contains(received, wire.OutcomeCompleted) || outcome == wire.OutcomeCompleted {
		assert.Equal(t, runs, 1, key)
	}
	if status == http.StatusNotFound || outcome == wire.OutcomeNotRun {
		assert.Equal(t, runs, 0, key)
	}
	if len(received) == 2 && received[0] == wire.OutcomeNotRun && received[1] == wire.OutcomeNotRun {
		assert.Equal(t, runs, 0, key)
	}
}
