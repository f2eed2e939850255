package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry"
	"peridotchute.example/entry/serving/action"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/idempotency"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
	register "peridotchute.example/side/action"
	"peridotchute.example/standin/faults"
	"peridotchute.example/standin/plain"
)

const longDelay = 5 * time.Second

// actionCluster starts entries and plain services with proxies between them.
func actionCluster(t *testing.T, entries, services int) (*cluster.Cluster, *proxy.Server) {
	t.Helper()
	proxies := proxy.NewServer()
	t.Cleanup(proxies.Close)
	c := cluster.Start(t, cluster.Options{Entries: entries, Plain: services, Proxies: proxies})
	waitForCharge(t, c)
	return c, proxies
}

// waitForTableWrite waits until the table's write count exceeds before.
func waitForTableWrite(t *testing.T, c *cluster.Cluster, before int64) {
	t.Helper()
	cluster.Eventually(t, func() error {
		counts, err := c.TableCounts()
		if err == nil && counts.Writes <= before {
			err = fmt.Errorf("%d writes", counts.Writes)
		}
		return err
	})
}

// tableWrites returns the number of writes that the table has counted.
func tableWrites(t *testing.T, c *cluster.Cluster) int64 {
	t.Helper()
	counts, err := c.TableCounts()
	assert.NilError(t, err)
	return counts.Writes
}

// unresolvedKeys returns the keys of the unresolved actions.
func unresolvedKeys(t *testing.T, c *cluster.Cluster) []string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	list, _, err := action.NewRunner(c.Table(), nil, nil, log).Unresolved(context.Background(), "", 1000)
	assert.NilError(t, err)
	var keys []string
	for _, u := range list {
		keys = append(keys, u.Key)
	}
	return keys
}

// waitForClaim waits until the stored record of an action names a server, and
// returns the side process of that server.
func waitForClaim(t *testing.T, c *cluster.Cluster, key string) *cluster.Side {
	t.Helper()
	var found *cluster.Side
	cluster.Eventually(t, func() error {
		rows, err := c.Table().List(context.Background(), "action/", "", 1000)
		if err != nil {
			return err
		}
		for _, row := range rows {
			var rec idempotency.Record
			assert.NilError(t, json.Unmarshal(row.Value, &rec))
			for _, s := range c.Sides() {
				if rec.Key == key && rec.Server == s.Name {
					found = s
					return nil
				}
			}
		}
		return fmt.Errorf("no claim for %s", key)
	})
	return found
}

// readState decodes one section of a process's state dump.
func readState(t *testing.T, adminURL, section string, into any) {
	t.Helper()
	resp, err := http.Get(adminURL + "/debug/state")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var sections map[string]json.RawMessage
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&sections))
	assert.NilError(t, json.Unmarshal(sections[section], into))
}

// attemptsArrived returns how many attempts have reached a side process.
func attemptsArrived(t *testing.T, s *cluster.Side) int64 {
	t.Helper()
	var d register.Dump
	readState(t, s.AdminURL(), "actions", &d)
	return d.Started + d.Refused
}

// waitForInFlight waits until the entry has a request in progress at the server.
func waitForInFlight(t *testing.T, e *cluster.Entry, s *cluster.Side) {
	t.Helper()
	cluster.Eventually(t, func() error {
		var servers []pool.Dump
		readState(t, e.AdminURL(), "servers", &servers)
		for _, d := range servers {
			if d.VM.Name == s.Name && d.InFlight > 0 {
				return nil
			}
		}
		return fmt.Errorf("%s has no request in progress at %s", e.Name, s.Name)
	})
}

func TestFrozenEntryResumesAfterTakeover(t *testing.T) {
	t.Parallel()
	c, proxies := actionCluster(t, 2, 2)
	for _, s := range c.Sides() {
		assert.NilError(t, proxies.Channel("entry-1", s.Name, cluster.ChannelData).Slow(longDelay))
	}
	first := chargeAsync(c.Entry(1), "k", "x")
	server := waitForClaim(t, c, "k")
	waitForInFlight(t, c.Entry(1), server)
	assert.NilError(t, c.Entry(1).Freeze())
	assert.NilError(t, proxies.Channel("entry-2", server.Name, cluster.ChannelData).Cut())
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.outcome(), wire.OutcomeCompleted, second.body)
	assert.NilError(t, c.Entry(1).Resume())
	before := attemptsArrived(t, server)
	resumed := <-first
	assert.Equal(t, attemptsArrived(t, server), before+1)
	assert.Equal(t, resumed.outcome(), wire.OutcomeCompleted, resumed.body)
	assert.Equal(t, resumed.body, second.body)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

// TestLateClaimAfterSideProcessRestart delays the response to an entry's claim
// write. Meanwhile another entry fences the attempt and runs a new one, and the
// side process that recorded the fence restarts. The late attempt must not run.
func TestLateClaimAfterSideProcessRestart(t *testing.T) {
	t.Parallel()
	proxies := proxy.NewServer()
	t.Cleanup(proxies.Close)
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 2, Proxies: proxies, EditEntry: func(_ int, s *entry.Settings) {
		s.Table.Timeout = 30_000
	}})
	waitForCharge(t, c)
	table := proxies.Channel("entry-1", cluster.Table, cluster.ChannelData)
	assert.NilError(t, table.Slow(longDelay))
	first := chargeAsync(c.Entry(1), "k", "x")
	server := waitForClaim(t, c, "k")
	assert.NilError(t, proxies.Channel("entry-2", server.Name, cluster.ChannelData).Cut())
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.outcome(), wire.OutcomeCompleted, second.body)
	assert.NilError(t, server.Restart())
	cluster.Eventually(t, cluster.Ready(server.Settings.AdminAddress))
	cluster.Eventually(t, func() error {
		if attemptsArrived(t, server) == 0 {
			return errors.New("the late attempt has not arrived yet")
		}
		return nil
	})
	assert.NilError(t, table.Heal(context.Background()))
	late := <-first
	assert.Equal(t, late.outcome(), wire.OutcomeCompleted, late.body)
	assert.Equal(t, late.body, second.body)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

func TestEntryKilledBeforeAttemptArrives(t *testing.T) {
	c, proxies := actionCluster(t, 2, 1)
	before := tableWrites(t, c)
	assert.NilError(t, proxies.Channel("entry-1", "plain-1", cluster.ChannelData).Blackhole())
	first := chargeAsync(c.Entry(1), "k", "x")
	waitForTableWrite(t, c, before)
	assert.NilError(t, c.Entry(1).Kill())
	assert.Assert(t, (<-first).err != nil)
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.outcome(), wire.OutcomeCompleted, second.body)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

func TestEntryKilledDuringExecution(t *testing.T) {
	c, _ := actionCluster(t, 2, 1)
	setBehaviour(t, c.Plain(1), plain.Behaviour{DelayMS: 2000})
	first := chargeAsync(c.Entry(1), "k", "x")
	waitForRun(t, c, "k")
	assert.NilError(t, c.Entry(1).Kill())
	assert.Assert(t, (<-first).err != nil)
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.outcome(), wire.OutcomeCompleted, second.body)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

func TestEntryKilledBeforeOutcomeWritten(t *testing.T) {
	c, proxies := actionCluster(t, 2, 1)
	setBehaviour(t, c.Plain(1), plain.Behaviour{DelayMS: 1000})
	first := chargeAsync(c.Entry(1), "k", "x")
	waitForRun(t, c, "k")
	assert.NilError(t, proxies.Channel("entry-1", cluster.Table, cluster.ChannelData).Cut())
	got := <-first
	assert.Equal(t, got.outcome(), wire.OutcomeCompleted, got.body)
	assert.NilError(t, c.Entry(1).Kill())
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.body, got.body)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

func TestEntryKilledBeforeClaimWritten(t *testing.T) {
	c, proxies := actionCluster(t, 2, 1)
	assert.NilError(t, proxies.Channel("entry-1", cluster.Table, cluster.ChannelData).Blackhole())
	first := chargeAsync(c.Entry(1), "k", "x")
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, c.Entry(1).Kill())
	assert.Assert(t, (<-first).err != nil)
	assert.Equal(t, charge(t, c.Entry(2), "k", "x").outcome(), wire.OutcomeCompleted)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

func TestSideProcessKilledDuringExecution(t *testing.T) {
	c, _ := actionCluster(t, 1, 2)
	for i := 1; i <= 2; i++ {
		setBehaviour(t, c.Plain(i), plain.Behaviour{DelayMS: 2000})
	}
	first := chargeAsync(c.Entry(1), "k", "x")
	waitForRun(t, c, "k")
	for i := 1; i <= 2; i++ {
		assert.NilError(t, c.Plain(i).Restart())
	}
	got := <-first
	assert.Equal(t, got.outcome(), wire.OutcomeUnknown, got.body)
	cluster.Eventually(t, func() error {
		if keys := unresolvedKeys(t, c); len(keys) != 1 || keys[0] != "k" {
			return fmt.Errorf("unresolved: %v", keys)
		}
		return nil
	})
	again := charge(t, c.Entry(1), "k", "x")
	assert.Equal(t, again.outcome(), wire.OutcomeUnknown)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

func TestSideProcessKilledBeforeAttemptArrives(t *testing.T) {
	c, proxies := actionCluster(t, 1, 1)
	before := tableWrites(t, c)
	assert.NilError(t, proxies.Channel("entry-1", "plain-1", cluster.ChannelData).Slow(longDelay))
	first := chargeAsync(c.Entry(1), "k", "x")
	waitForTableWrite(t, c, before)
	assert.NilError(t, c.Plain(1).Restart())
	got := <-first
	if got.outcome() == wire.OutcomeNotRun {
		assert.Equal(t, len(serviceCalls(t, c, "k")), 0)
		return
	}
	assert.Equal(t, got.outcome(), wire.OutcomeUnknown, got.body)
	assert.Equal(t, len(unresolvedKeys(t, c)), 1)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 0)
}

func TestSideProcessKilledAfterExecution(t *testing.T) {
	c, _ := actionCluster(t, 1, 1)
	first := charge(t, c.Entry(1), "k", "x")
	assert.NilError(t, c.Plain(1).Restart())
	again := charge(t, c.Entry(1), "k", "x")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

// TestRepeatWithOutcomeUnavailable repeats an action while the table is down and
// the only side process that ran it has restarted and forgotten the outcome.
func TestRepeatWithOutcomeUnavailable(t *testing.T) {
	c, _ := actionCluster(t, 1, 1)
	assert.Equal(t, charge(t, c.Entry(1), "k", "x").outcome(), wire.OutcomeCompleted)
	assert.NilError(t, c.Plain(1).Restart())
	waitForCharge(t, c)
	assert.NilError(t, c.StoreDown(true))
	got := charge(t, c.Entry(1), "k", "x")
	assert.Equal(t, got.outcome(), wire.OutcomeUnknown, got.body)
	assert.Equal(t, charge(t, c.Entry(1), "", "x").outcome(), wire.OutcomeNotRun, "a key generated by the entry cannot have been used before")
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

func TestServiceCutsResponse(t *testing.T) {
	c, proxies := actionCluster(t, 1, 1)
	setBehaviour(t, c.Plain(1), plain.Behaviour{Cut: true})
	got := charge(t, c.Entry(1), "before", "x")
	assert.Equal(t, got.outcome(), wire.OutcomeUnknown, got.body)
	setBehaviour(t, c.Plain(1), plain.Behaviour{Pieces: 20, PieceBytes: 1000, DelayMS: 5})
	assert.NilError(t, proxies.Channel("plain-1", cluster.Backend, cluster.ChannelData).CutAnswerAfter(5000))
	got = charge(t, c.Entry(1), "within", "x")
	assert.Equal(t, got.outcome(), wire.OutcomeUnknown, got.body)
	assert.DeepEqual(t, unresolvedKeys(t, c), []string{"before", "within"})
	assert.Equal(t, len(serviceCalls(t, c, "before")), 1)
	assert.Equal(t, len(serviceCalls(t, c, "within")), 1)
}

func TestTableWriteResponseLost(t *testing.T) {
	c, _ := actionCluster(t, 1, 1)
	for lost := 1; lost <= 2; lost++ {
		key := fmt.Sprint("lost-", lost)
		assert.NilError(t, c.Fault(c.StandIn.Settings.TableAddress, faults.Settings{LoseNext: lost, Match: "PutItem"}))
		assert.Equal(t, charge(t, c.Entry(1), key, "x").outcome(), wire.OutcomeCompleted)
		assert.Equal(t, len(serviceCalls(t, c, key)), 1)
	}
}

func TestResponseToEntryCut(t *testing.T) {
	c, proxies := actionCluster(t, 1, 1)
	setBehaviour(t, c.Plain(1), plain.Behaviour{Pieces: 20, PieceBytes: 1000, DelayMS: 5})
	assert.NilError(t, proxies.Channel("entry-1", "plain-1", cluster.ChannelData).CutAnswerAfter(5000))
	got := charge(t, c.Entry(1), "k", "x")
	assert.Equal(t, got.outcome(), wire.OutcomeCompleted, got.body)
	assert.Equal(t, len(got.body), 20000)
	assert.Equal(t, len(serviceCalls(t, c, "k")), 1)
}

// TestStoreDownUnderTraffic stops the table for a minute under steady traffic.
func TestStoreDownUnderTraffic(t *testing.T) {
	t.Parallel()
	const down = 60 * time.Second
	c, _ := actionCluster(t, 2, 2)
	run := func(phase string, until time.Time) (outcomes map[wire.Outcome]int) {
		outcomes = map[wire.Outcome]int{}
		for i := 0; time.Now().Before(until); i++ {
			key := fmt.Sprint(phase, i)
			resp := charge(t, c.Entry(1+i%2), key, "x")
			outcomes[resp.outcome()]++
			want := 0
			if resp.outcome() == wire.OutcomeCompleted {
				want = 1
			}
			assert.Equal(t, len(serviceCalls(t, c, key)), want, "%s has outcome %s", key, resp.outcome())
			if resp.StatusCode == http.StatusServiceUnavailable {
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
			}
			time.Sleep(20 * time.Millisecond)
		}
		return outcomes
	}
	before := run("before-", time.Now().Add(time.Second))
	assert.Equal(t, len(before), 1)
	assert.Assert(t, before[wire.OutcomeCompleted] > 0)
	assert.NilError(t, c.StoreDown(true))
	during := run("down-", time.Now().Add(down))
	assert.Equal(t, len(during), 1)
	assert.Assert(t, during[wire.OutcomeNotRun] > 0)
	repeat := charge(t, c.Entry(2), "before-0", "x")
	assert.Equal(t, repeat.outcome(), wire.OutcomeCompleted, "the side process still has the response")
	assert.NilError(t, c.StoreDown(false))
	after := run("after-", time.Now().Add(time.Second))
	assert.Equal(t, len(after), 1)
	assert.Assert(t, after[wire.OutcomeCompleted] > 0)
	t.Logf("before %v, down %v, after %v", before, during, after)
}
