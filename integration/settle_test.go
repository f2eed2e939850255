package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/operator/api"
	"peridotchute.example/operator/cli"
	"peridotchute.example/standin/plain"
)

// makeUnresolved creates an unresolved action: its side process is killed while the
// service runs it, so that its outcome cannot be determined.
func makeUnresolved(t *testing.T, c *cluster.Cluster, key string) {
	t.Helper()
	setBehaviour(t, c.Plain(1), plain.Behaviour{DelayMS: 2000})
	pending := chargeAsync(c.Entry(1), key, "x")
	waitForRun(t, c, key)
	assert.NilError(t, c.Plain(1).Restart())
	resp := <-pending
	assert.Equal(t, resp.outcome(), wire.OutcomeUnknown, resp.body)
	setBehaviour(t, c.Plain(1), plain.Behaviour{})
	waitForCharge(t, c)
}

func TestOperatorSettlesActions(t *testing.T) {
	s := newOperatorCLI(t)
	c := cluster.Start(t, cluster.Options{Plain: 1, EditEntry: s.setKeyFile})
	e := c.Entry(1)
	waitForCharge(t, c)
	makeUnresolved(t, c, "took-effect")
	makeUnresolved(t, c, "did-not")
	cluster.Eventually(t, func() error { return checkUnresolvedCount(s, e, 2) })

	s.mustExit(cli.ExitRefused, e, plannerKey, "settle", "sample", "did-not", "--not-run", "--note", "asked the bank")
	s.mustExit(cli.ExitOK, e, acceptorKey, "settle", "sample", "took-effect", "--ran", "--note", "in the bank's list")
	s.mustExit(cli.ExitOK, e, acceptorKey, "settle", "sample", "did-not", "--not-run", "--note", "not in the bank's list")
	s.mustExit(cli.ExitConflict, e, acceptorKey, "settle", "sample", "did-not", "--ran", "--note", "again")
	assert.NilError(t, checkUnresolvedCount(s, e, 0))

	again := charge(t, e, "took-effect", "x")
	assert.Equal(t, again.StatusCode, http.StatusGone, again.body)
	assert.Equal(t, again.outcome(), wire.OutcomeCompleted)
	assert.Equal(t, len(serviceCalls(t, c, "took-effect")), 1)
	assert.Equal(t, charge(t, e, "did-not", "x").outcome(), wire.OutcomeCompleted)
	assert.Equal(t, len(serviceCalls(t, c, "did-not")), 2, "an action settled as not run must run again when repeated")
}

// TestSettledJobRunsAgain makes a non-idempotent job unresolved. Once an operator
// has settled it as not run, it must run again.
func TestSettledJobRunsAgain(t *testing.T) {
	t.Parallel()
	s := newOperatorCLI(t)
	c := cluster.Start(t, cluster.Options{Plain: 1, EditEntry: s.setKeyFile})
	e := c.Entry(1)
	waitForCharge(t, c)
	before := countCallsTo(t, c, "/charge")
	setBehaviour(t, c.Plain(1), plain.Behaviour{DelayMS: 2000})
	accepted := postAsync(t, e, chargePath, "k", "x")
	assert.Equal(t, accepted.StatusCode, http.StatusAccepted, accepted.body)
	cluster.Eventually(t, func() error {
		if n := countCallsTo(t, c, "/charge"); n != before+1 {
			return fmt.Errorf("%d charges", n)
		}
		return nil
	})
	assert.NilError(t, c.Plain(1).Restart())
	setBehaviour(t, c.Plain(1), plain.Behaviour{})
	lost := waitForJob(t, e, accepted.Header.Get("Location"))
	assert.Equal(t, lost.outcome(), wire.OutcomeUnknown, lost.body)
	list := listUnresolved(s, e)
	assert.Equal(t, len(list.Actions), 1)
	s.mustExit(cli.ExitOK, e, acceptorKey, "settle", "sample", list.Actions[0].Key, "--not-run", "--note", "not in the bank's list")
	cluster.Eventually(t, func() error {
		if resp := waitForJob(t, e, accepted.Header.Get("Location")); resp.StatusCode != http.StatusOK {
			return fmt.Errorf("%d %s", resp.StatusCode, resp.body)
		}
		return nil
	})
	assert.Equal(t, len(listUnresolved(s, e).Actions), 0)
}

func listUnresolved(s *operatorCLI, e *cluster.Entry) api.UnresolvedList {
	s.t.Helper()
	r := s.mustExit(cli.ExitOK, e, plannerKey, "unresolved", "-o", "json")
	var list api.UnresolvedList
	assert.NilError(s.t, json.Unmarshal([]byte(r.stdout), &list))
	return list
}

// checkUnresolvedCount returns an error unless n actions are unresolved.
func checkUnresolvedCount(s *operatorCLI, e *cluster.Entry, n int) error {
	if list := listUnresolved(s, e); len(list.Actions) != n {
		return fmt.Errorf("unresolved: %+v", list.Actions)
	}
	return nil
}
