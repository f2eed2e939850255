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

// lose makes an action whose outcome nobody can know: its side process is
// killed while the service runs it.
func lose(t *testing.T, c *cluster.Cluster, key string) {
	t.Helper()
	behave(t, c.Plain(1), plain.Behaviour{DelayMS: 2000})
	told := charging(c.Entry(1), key, "x")
	ran(t, c, key)
	assert.NilError(t, c.Plain(1).Restart())
	a := <-told
	assert.Equal(t, a.outcome(), wire.OutcomeUnknown, a.body)
	behave(t, c.Plain(1), plain.Behaviour{})
	charged(t, c)
}

func TestOperatorSettlesUnresolvedActions(t *testing.T) {
	s := newShell(t)
	c := cluster.Start(t, cluster.Options{Plain: 1, EditEntry: s.edit})
	e := c.Entry(1)
	charged(t, c)
	lose(t, c, "took-effect")
	lose(t, c, "did-not")
	cluster.Eventually(t, func() error { return unresolvedAre(s, e, 2) })

	s.must(cli.ExitRefused, e, plannerKey, "settle", "sample", "did-not", "--not-run", "--note", "asked the bank")
	s.must(cli.ExitOK, e, acceptorKey, "settle", "sample", "took-effect", "--ran", "--note", "in the bank's list")
	s.must(cli.ExitOK, e, acceptorKey, "settle", "sample", "did-not", "--not-run", "--note", "not in the bank's list")
	s.must(cli.ExitConflict, e, acceptorKey, "settle", "sample", "did-not", "--ran", "--note", "again")
	assert.NilError(t, unresolvedAre(s, e, 0))

	again := charge(t, e, "took-effect", "x")
	assert.Equal(t, again.StatusCode, http.StatusGone, again.body)
	assert.Equal(t, again.outcome(), wire.OutcomeCompleted)
	assert.Equal(t, len(calls(t, c, "took-effect")), 1)
	assert.Equal(t, charge(t, e, "did-not", "x").outcome(), wire.OutcomeCompleted)
	assert.Equal(t, len(calls(t, c, "did-not")), 2, "an action settled as not run may run again")
}

// TestSettledJobIsRunAgain loses late work that is not idempotent: once an
// operator has found that it did not take effect, it is run.
func TestSettledJobIsRunAgain(t *testing.T) {
	t.Parallel()
	s := newShell(t)
	c := cluster.Start(t, cluster.Options{Plain: 1, EditEntry: s.edit})
	e := c.Entry(1)
	charged(t, c)
	before := callsTo(t, c, "/charge")
	behave(t, c.Plain(1), plain.Behaviour{DelayMS: 2000})
	accepted := later(t, e, chargePath, "k", "x")
	assert.Equal(t, accepted.StatusCode, http.StatusAccepted, accepted.body)
	cluster.Eventually(t, func() error {
		if n := callsTo(t, c, "/charge"); n != before+1 {
			return fmt.Errorf("%d charges", n)
		}
		return nil
	})
	assert.NilError(t, c.Plain(1).Restart())
	behave(t, c.Plain(1), plain.Behaviour{})
	lost := jobResult(t, e, accepted.Header.Get("Location"))
	assert.Equal(t, lost.outcome(), wire.OutcomeUnknown, lost.body)
	list := unresolvedOf(s, e)
	assert.Equal(t, len(list.Actions), 1)
	s.must(cli.ExitOK, e, acceptorKey, "settle", "sample", list.Actions[0].Key, "--not-run", "--note", "not in the bank's list")
	cluster.Eventually(t, func() error {
		if a := jobResult(t, e, accepted.Header.Get("Location")); a.StatusCode != http.StatusOK {
			return fmt.Errorf("%d %s", a.StatusCode, a.body)
		}
		return nil
	})
	assert.Equal(t, len(unresolvedOf(s, e).Actions), 0)
}

func unresolvedOf(s *shell, e *cluster.Entry) api.UnresolvedList {
	s.t.Helper()
	r := s.must(cli.ExitOK, e, plannerKey, "unresolved", "-o", "json")
	var list api.UnresolvedList
	assert.NilError(s.t, json.Unmarshal([]byte(r.stdout), &list))
	return list
}

// unresolvedAre reports an error unless the list has n actions.
func unresolvedAre(s *shell, e *cluster.Entry, n int) error {
	if list := unresolvedOf(s, e); len(list.Actions) != n {
		return fmt.Errorf("unresolved: %+v", list.Actions)
	}
	return nil
}
