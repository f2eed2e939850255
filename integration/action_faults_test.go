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
	charged(t, c)
	return c, proxies
}

// claimed waits until the table has taken a write more than before.
func claimed(t *testing.T, c *cluster.Cluster, before int64) {
	t.Helper()
	cluster.Eventually(t, func() error {
		counts, err := c.TableCounts()
		if err == nil && counts.Writes <= before {
			err = fmt.Errorf("%d writes", counts.Writes)
		}
		return err
	})
}

func writes(t *testing.T, c *cluster.Cluster) int64 {
	t.Helper()
	counts, err := c.TableCounts()
	assert.NilError(t, err)
	return counts.Writes
}

// listed returns the keys on the operators' list.
func listed(t *testing.T, c *cluster.Cluster) []string {
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

// claimedServer returns the server that the row of an action names.
func claimedServer(t *testing.T, c *cluster.Cluster, key string) *cluster.Side {
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
		return fmt.Errorf("no claim of %s", key)
	})
	return found
}

// dump reads one section of a process's state dump.
func dump(t *testing.T, adminURL, section string, into any) {
	t.Helper()
	resp, err := http.Get(adminURL + "/debug/state")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var sections map[string]json.RawMessage
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&sections))
	assert.NilError(t, json.Unmarshal(sections[section], into))
}

// arrivals returns how many attempts have arrived at a side process.
func arrivals(t *testing.T, s *cluster.Side) int64 {
	t.Helper()
	var d register.Dump
	dump(t, s.AdminURL(), "actions", &d)
	return d.Started + d.Refused
}

// sending waits until the entry has a request in progress at the server.
func sending(t *testing.T, e *cluster.Entry, s *cluster.Side) {
	t.Helper()
	cluster.Eventually(t, func() error {
		var servers []pool.Dump
		dump(t, e.AdminURL(), "servers", &servers)
		for _, d := range servers {
			if d.VM.Name == s.Name && d.InFlight > 0 {
				return nil
			}
		}
		return fmt.Errorf("%s has nothing in progress at %s", e.Name, s.Name)
	})
}

func TestFrozenEntryWakesAfterAnotherTookOver(t *testing.T) {
	t.Parallel()
	c, proxies := actionCluster(t, 2, 2)
	for _, s := range c.Sides() {
		assert.NilError(t, proxies.Channel("entry-1", s.Name, cluster.ChannelData).Slow(longDelay))
	}
	first := charging(c.Entry(1), "k", "x")
	server := claimedServer(t, c, "k")
	sending(t, c.Entry(1), server)
	assert.NilError(t, c.Entry(1).Freeze())
	assert.NilError(t, proxies.Channel("entry-2", server.Name, cluster.ChannelData).Cut())
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.outcome(), wire.OutcomeCompleted, second.body)
	assert.NilError(t, c.Entry(1).Resume())
	before := arrivals(t, server)
	woken := <-first
	assert.Equal(t, arrivals(t, server), before+1)
	assert.Equal(t, woken.outcome(), wire.OutcomeCompleted, woken.body)
	assert.Equal(t, woken.body, second.body)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

// TestLateClaimMeetsARestartedSideProcess has an entry learn late that its
// claim was written: by then another entry had the attempt barred and ran a
// further one, and the side process that knew of the bar has restarted.
func TestLateClaimMeetsARestartedSideProcess(t *testing.T) {
	t.Parallel()
	proxies := proxy.NewServer()
	t.Cleanup(proxies.Close)
	c := cluster.Start(t, cluster.Options{Entries: 2, Plain: 2, Proxies: proxies, EditEntry: func(_ int, s *entry.Settings) {
		s.Table.Timeout = 30_000
	}})
	charged(t, c)
	table := proxies.Channel("entry-1", cluster.Table, cluster.ChannelData)
	assert.NilError(t, table.Slow(longDelay))
	first := charging(c.Entry(1), "k", "x")
	server := claimedServer(t, c, "k")
	assert.NilError(t, proxies.Channel("entry-2", server.Name, cluster.ChannelData).Cut())
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.outcome(), wire.OutcomeCompleted, second.body)
	assert.NilError(t, server.Restart())
	cluster.Eventually(t, cluster.Ready(server.Settings.AdminAddress))
	cluster.Eventually(t, func() error {
		if arrivals(t, server) == 0 {
			return errors.New("the late attempt has not arrived")
		}
		return nil
	})
	assert.NilError(t, table.Heal(context.Background()))
	woken := <-first
	assert.Equal(t, woken.outcome(), wire.OutcomeCompleted, woken.body)
	assert.Equal(t, woken.body, second.body)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

func TestEntryKilledBeforeItsAttemptArrives(t *testing.T) {
	c, proxies := actionCluster(t, 2, 1)
	before := writes(t, c)
	assert.NilError(t, proxies.Channel("entry-1", "plain-1", cluster.ChannelData).Blackhole())
	first := charging(c.Entry(1), "k", "x")
	claimed(t, c, before)
	assert.NilError(t, c.Entry(1).Kill())
	assert.Assert(t, (<-first).cut != nil)
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.outcome(), wire.OutcomeCompleted, second.body)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

func TestEntryKilledDuringTheRun(t *testing.T) {
	c, _ := actionCluster(t, 2, 1)
	behave(t, c.Plain(1), plain.Behaviour{DelayMS: 2000})
	first := charging(c.Entry(1), "k", "x")
	ran(t, c, "k")
	assert.NilError(t, c.Entry(1).Kill())
	assert.Assert(t, (<-first).cut != nil)
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.outcome(), wire.OutcomeCompleted, second.body)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

func TestEntryKilledBeforeItWroteTheOutcome(t *testing.T) {
	c, proxies := actionCluster(t, 2, 1)
	behave(t, c.Plain(1), plain.Behaviour{DelayMS: 1000})
	first := charging(c.Entry(1), "k", "x")
	ran(t, c, "k")
	assert.NilError(t, proxies.Channel("entry-1", cluster.Table, cluster.ChannelData).Cut())
	told := <-first
	assert.Equal(t, told.outcome(), wire.OutcomeCompleted, told.body)
	assert.NilError(t, c.Entry(1).Kill())
	second := charge(t, c.Entry(2), "k", "x")
	assert.Equal(t, second.body, told.body)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

func TestEntryKilledBeforeItsClaim(t *testing.T) {
	c, proxies := actionCluster(t, 2, 1)
	assert.NilError(t, proxies.Channel("entry-1", cluster.Table, cluster.ChannelData).Blackhole())
	first := charging(c.Entry(1), "k", "x")
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, c.Entry(1).Kill())
	assert.Assert(t, (<-first).cut != nil)
	assert.Equal(t, charge(t, c.Entry(2), "k", "x").outcome(), wire.OutcomeCompleted)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

func TestSideProcessKilledDuringTheRun(t *testing.T) {
	c, _ := actionCluster(t, 1, 2)
	for i := 1; i <= 2; i++ {
		behave(t, c.Plain(i), plain.Behaviour{DelayMS: 2000})
	}
	first := charging(c.Entry(1), "k", "x")
	ran(t, c, "k")
	for i := 1; i <= 2; i++ {
		assert.NilError(t, c.Plain(i).Restart())
	}
	told := <-first
	assert.Equal(t, told.outcome(), wire.OutcomeUnknown, told.body)
	cluster.Eventually(t, func() error {
		if keys := listed(t, c); len(keys) != 1 || keys[0] != "k" {
			return fmt.Errorf("unresolved: %v", keys)
		}
		return nil
	})
	again := charge(t, c.Entry(1), "k", "x")
	assert.Equal(t, again.outcome(), wire.OutcomeUnknown)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

func TestSideProcessKilledBeforeTheAttemptArrives(t *testing.T) {
	c, proxies := actionCluster(t, 1, 1)
	before := writes(t, c)
	assert.NilError(t, proxies.Channel("entry-1", "plain-1", cluster.ChannelData).Slow(longDelay))
	first := charging(c.Entry(1), "k", "x")
	claimed(t, c, before)
	assert.NilError(t, c.Plain(1).Restart())
	told := <-first
	if told.outcome() == wire.OutcomeNotRun {
		assert.Equal(t, len(calls(t, c, "k")), 0)
		return
	}
	assert.Equal(t, told.outcome(), wire.OutcomeUnknown, told.body)
	assert.Equal(t, len(listed(t, c)), 1)
	assert.Equal(t, len(calls(t, c, "k")), 0)
}

func TestSideProcessKilledAfterTheRun(t *testing.T) {
	c, _ := actionCluster(t, 1, 1)
	first := charge(t, c.Entry(1), "k", "x")
	assert.NilError(t, c.Plain(1).Restart())
	again := charge(t, c.Entry(1), "k", "x")
	assert.Equal(t, again.body, first.body)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

// TestRepeatWhileNobodyRemembers takes the table away after the only side
// process that ran the action has restarted.
func TestRepeatWhileNobodyRemembers(t *testing.T) {
	c, _ := actionCluster(t, 1, 1)
	assert.Equal(t, charge(t, c.Entry(1), "k", "x").outcome(), wire.OutcomeCompleted)
	assert.NilError(t, c.Plain(1).Restart())
	charged(t, c)
	assert.NilError(t, c.StoreDown(true))
	told := charge(t, c.Entry(1), "k", "x")
	assert.Equal(t, told.outcome(), wire.OutcomeUnknown, told.body)
	assert.Equal(t, charge(t, c.Entry(1), "", "x").outcome(), wire.OutcomeNotRun, "no other request can have the key")
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

func TestServiceThatCutsItsAnswer(t *testing.T) {
	c, proxies := actionCluster(t, 1, 1)
	behave(t, c.Plain(1), plain.Behaviour{Cut: true})
	told := charge(t, c.Entry(1), "before", "x")
	assert.Equal(t, told.outcome(), wire.OutcomeUnknown, told.body)
	behave(t, c.Plain(1), plain.Behaviour{Pieces: 20, PieceBytes: 1000, DelayMS: 5})
	assert.NilError(t, proxies.Channel("plain-1", cluster.Backend, cluster.ChannelData).CutAnswerAfter(5000))
	told = charge(t, c.Entry(1), "within", "x")
	assert.Equal(t, told.outcome(), wire.OutcomeUnknown, told.body)
	assert.DeepEqual(t, listed(t, c), []string{"before", "within"})
	assert.Equal(t, len(calls(t, c, "before")), 1)
	assert.Equal(t, len(calls(t, c, "within")), 1)
}

func TestEachWriteAnswerLost(t *testing.T) {
	c, _ := actionCluster(t, 1, 1)
	for lost := 1; lost <= 2; lost++ {
		key := fmt.Sprint("lost-", lost)
		assert.NilError(t, c.Fault(c.StandIn.Settings.TableAddress, faults.Settings{LoseNext: lost, Match: "PutItem"}))
		assert.Equal(t, charge(t, c.Entry(1), key, "x").outcome(), wire.OutcomeCompleted)
		assert.Equal(t, len(calls(t, c, key)), 1)
	}
}

func TestAnswerLostOnItsWayToTheEntry(t *testing.T) {
	c, proxies := actionCluster(t, 1, 1)
	behave(t, c.Plain(1), plain.Behaviour{Pieces: 20, PieceBytes: 1000, DelayMS: 5})
	assert.NilError(t, proxies.Channel("entry-1", "plain-1", cluster.ChannelData).CutAnswerAfter(5000))
	told := charge(t, c.Entry(1), "k", "x")
	assert.Equal(t, told.outcome(), wire.OutcomeCompleted, told.body)
	assert.Equal(t, len(told.body), 20000)
	assert.Equal(t, len(calls(t, c, "k")), 1)
}

// TestStoreDownInTraffic takes the table away for a minute of steady traffic.
func TestStoreDownInTraffic(t *testing.T) {
	t.Parallel()
	const down = 60 * time.Second
	c, _ := actionCluster(t, 2, 2)
	run := func(phase string, until time.Time) (told map[wire.Outcome]int) {
		told = map[wire.Outcome]int{}
		for i := 0; time.Now().Before(until); i++ {
			key := fmt.Sprint(phase, i)
			a := charge(t, c.Entry(1+i%2), key, "x")
			told[a.outcome()]++
			want := 0
			if a.outcome() == wire.OutcomeCompleted {
				want = 1
			}
			assert.Equal(t, len(calls(t, c, key)), want, "%s told %s", key, a.outcome())
			if a.StatusCode == http.StatusServiceUnavailable {
				assert.Assert(t, a.Header.Get("Retry-After") != "")
			}
			time.Sleep(20 * time.Millisecond)
		}
		return told
	}
	up := run("before-", time.Now().Add(time.Second))
	assert.Equal(t, len(up), 1)
	assert.Assert(t, up[wire.OutcomeCompleted] > 0)
	assert.NilError(t, c.StoreDown(true))
	without := run("down-", time.Now().Add(down))
	assert.Equal(t, len(without), 1)
	assert.Assert(t, without[wire.OutcomeNotRun] > 0)
	repeat := charge(t, c.Entry(2), "before-0", "x")
	assert.Equal(t, repeat.outcome(), wire.OutcomeCompleted, "the side process still knows the answer")
	assert.NilError(t, c.StoreDown(false))
	after := run("after-", time.Now().Add(time.Second))
	assert.Equal(t, len(after), 1)
	assert.Assert(t, after[wire.OutcomeCompleted] > 0)
	t.Logf("before %v, down %v, after %v", up, without, after)
}
