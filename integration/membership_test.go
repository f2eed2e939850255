package integration

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/wire"
	"peridotchute.example/entry/serving/pool"
	"peridotchute.example/integration/cluster"
	"peridotchute.example/integration/proxy"
	"peridotchute.example/membership"
	"peridotchute.example/standin/plain"
	"peridotchute.example/store"
)

const slotsPath = "/services/" + cluster.SampleService + "/slots"

// waitForState waits until the entry sees the named servers in a state.
func waitForState(t *testing.T, e *cluster.Entry, state membership.State, names ...string) {
	t.Helper()
	cluster.Eventually(t, func() error {
		states, err := memberStates(e)
		if err != nil {
			return err
		}
		for _, name := range names {
			if states[name] != state {
				return fmt.Errorf("%s sees %s in state %q, want %q", e.Name, name, states[name], state)
			}
		}
		return nil
	})
}

// memberStates returns the states of all servers as seen by an entry, by server
// name.
func memberStates(e *cluster.Entry) (map[string]membership.State, error) {
	servers, err := cluster.State[[]pool.Dump](e.Settings.AdminAddress, "servers")
	if err != nil {
		return nil, err
	}
	out := map[string]membership.State{}
	for _, s := range servers {
		out[s.VM.Name] = membership.State(s.State)
	}
	return out, nil
}

// countCallsAt returns how many calls the plain service behind a side process ran.
func countCallsAt(t *testing.T, s *cluster.Side) int {
	t.Helper()
	return len(callsAt(t, s))
}

// callsAt returns the calls that the plain service behind a side process ran.
func callsAt(t *testing.T, s *cluster.Side) []plain.Call {
	t.Helper()
	resp, err := http.Get(s.BackendURL() + "/control/calls")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var all []plain.Call
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&all))
	return all
}

// postSlots sends n idempotent calls one after another.
func postSlots(t *testing.T, e *cluster.Entry, n int) {
	t.Helper()
	for range n {
		resp, err := postWithKey(e, slotsPath, "", "{}")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, resp.body)
	}
}

func TestLeavingServerReceivesNoRequests(t *testing.T) {
	const requests = 100
	c := cluster.Start(t, cluster.Options{Entries: 1, Plain: 2})
	e, leaving := c.Entry(1), c.Plain(2)
	waitForState(t, e, membership.StateLive, "plain-1", "plain-2")
	postSlots(t, e, requests)
	if countCallsAt(t, leaving) == 0 {
		leaving = c.Plain(1)
	}
	assert.Assert(t, countCallsAt(t, leaving) > 0, "the server received no calls before it left")
	assert.NilError(t, c.SetVMState(leaving.Name, store.VMLeaving))
	waitForState(t, e, membership.StateLeaving, leaving.Name)
	before := countCallsAt(t, leaving)
	postSlots(t, e, requests)
	assert.Equal(t, countCallsAt(t, leaving), before)
}

func TestFrozenServerReceivesNoRequests(t *testing.T) {
	const requests = 50
	c := cluster.Start(t, cluster.Options{Entries: 1, Plain: 2})
	e, frozen := c.Entry(1), c.Plain(2)
	waitForState(t, e, membership.StateLive, "plain-1", "plain-2")
	assert.NilError(t, frozen.Freeze())
	waitForState(t, e, membership.StateSuspect, "plain-2")
	before := countCallsAt(t, frozen)
	postSlots(t, e, requests)
	assert.NilError(t, frozen.Resume())
	waitForState(t, e, membership.StateLive, "plain-2")
	assert.Equal(t, countCallsAt(t, frozen), before)
}

// crossRegionLinks returns the links between processes of different regions, and
// those from entries outside the region of entry-1 to the store.
func crossRegionLinks(c *cluster.Cluster, proxies *proxy.Server) []*proxy.Link {
	var out []*proxy.Link
	for _, e := range c.Entries() {
		for _, s := range c.Sides() {
			if e.Settings.Region != s.Settings.Region {
				out = append(out, proxies.Between(e.Name, s.Name))
			}
		}
		for _, other := range c.Entries() {
			if e.Settings.Region != other.Settings.Region {
				out = append(out, proxies.Between(e.Name, other.Name))
			}
		}
		if e.Settings.Region != c.Entry(1).Settings.Region {
			out = append(out, proxies.Between(e.Name, cluster.Table), proxies.Between(e.Name, cluster.Objects))
		}
	}
	return out
}

func TestRegionsPartitioned(t *testing.T) {
	proxies := proxy.NewServer()
	t.Cleanup(proxies.Close)
	c := cluster.Start(t, cluster.Options{Entries: 3, Sides: 3, Plain: 3, Zones: cluster.SampleZones(3), Proxies: proxies})
	near, far := c.Entry(1), c.Entry(3)
	allServers := []string{"side-1", "side-2", "side-3", "plain-1", "plain-2", "plain-3"}
	for _, e := range c.Entries() {
		waitForState(t, e, membership.StateLive, allServers...)
		waitForSampleModel(t, e)
	}
	links := crossRegionLinks(c, proxies)
	for _, l := range links {
		assert.NilError(t, l.Cut())
	}
	waitForState(t, near, membership.StateSuspect, "side-3", "plain-3")
	waitForState(t, far, membership.StateSuspect, "side-1", "side-2", "plain-1", "plain-2")
	waitForState(t, near, membership.StateLive, "side-1", "side-2", "plain-1", "plain-2")
	waitForState(t, far, membership.StateLive, "side-3", "plain-3")
	publishNext(t, c)
	waitForVersion(t, c.Version(), near.Settings.AdminAddress, c.Side(1).Settings.AdminAddress)
	extendFault(t)
	waitForSampleModel(t, far)
	waitForSampleModel(t, near)
	for _, e := range c.Entries() {
		states, err := memberStates(e)
		assert.NilError(t, err)
		assert.Equal(t, len(states), len(allServers), "%s lost members", e.Name)
	}
	for _, l := range links {
		assert.NilError(t, l.Restore())
	}
	for _, e := range c.Entries() {
		waitForState(t, e, membership.StateLive, allServers...)
	}
	waitForVersion(t, c.Version(), c.AdminAddresses()...)
}

// loadBalancer sends each request over a new connection to an entry that has just
// passed its readiness check.
type loadBalancer struct {
	entries []*cluster.Entry
	next    atomic.Int64
	client  http.Client
}

func newLoadBalancer(c *cluster.Cluster) *loadBalancer {
	return &loadBalancer{entries: c.Entries(), client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// post retries a request until an entry responds with an outcome other than
// not-run. It returns an error if a request fails after the connection was made.
func (b *loadBalancer) post(path, key, body string) (response, error) {
	for {
		e := b.entries[int(b.next.Add(1))%len(b.entries)]
		if cluster.Ready(e.Settings.AdminAddress)() != nil {
			continue
		}
		resp, err := postWithClient(&b.client, e, path, key, body)
		var opErr *net.OpError
		switch {
		case errors.As(err, &opErr) && opErr.Op == "dial":
		case err != nil:
			return resp, fmt.Errorf("at %s: %w", e.Name, err)
		case resp.err != nil:
			return resp, fmt.Errorf("cut at %s: %w", e.Name, resp.err)
		case resp.outcome() != wire.OutcomeNotRun:
			return resp, nil
		}
	}
}

// sendInterval is the pause of each sender between two requests.
const sendInterval = 20 * time.Millisecond

// traffic sends charges and streams until stop is closed.
type traffic struct {
	wg          sync.WaitGroup
	stop        chan struct{}
	mu          sync.Mutex
	keys        []string
	errs        []error
	chargesDone atomic.Int64
	streamsDone atomic.Int64
}

func (tr *traffic) run(f func(i int) error) {
	tr.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-tr.stop:
				return
			case <-time.After(sendInterval):
			}
			if err := f(i); err != nil {
				tr.mu.Lock()
				tr.errs = append(tr.errs, err)
				tr.mu.Unlock()
			}
		}
	})
}

func (tr *traffic) sendCharges(b *loadBalancer, worker int) {
	tr.run(func(i int) error {
		key := fmt.Sprintf("charge-%d-%d", worker, i)
		tr.mu.Lock()
		tr.keys = append(tr.keys, key)
		tr.mu.Unlock()
		resp, err := b.post(chargePath, key, key)
		if err == nil && resp.outcome() != wire.OutcomeCompleted {
			err = fmt.Errorf("%s: %s %s: %s", key, resp.Status, resp.outcome(), resp.body)
		}
		tr.chargesDone.Add(1)
		return err
	})
}

func (tr *traffic) sendStreams(b *loadBalancer) {
	const tokens = 200 // long enough to outlast the delay between the announcement of a stop and the stop
	tr.run(func(int) error {
		resp, err := b.post("/v1/completions", "", completion(cluster.SampleModel, tokens, true))
		if err == nil && (resp.outcome() != wire.OutcomeCompleted || !strings.HasSuffix(resp.body, streamEnd+"\n\n")) {
			err = fmt.Errorf("stream: %s %s: %s", resp.Status, resp.outcome(), resp.body)
		}
		tr.streamsDone.Add(1)
		return err
	})
}

func TestRollingRestartLosesNoRequests(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 2, Sides: 2, Plain: 2, TimeScale: 1})
	for _, e := range c.Entries() {
		waitForSampleModel(t, e)
	}
	waitForCharge(t, c)
	b := newLoadBalancer(c)
	tr := &traffic{stop: make(chan struct{})}
	for worker := range 2 {
		tr.sendCharges(b, worker)
	}
	for range 6 {
		tr.sendStreams(b)
	}
	processes := c.Processes()
	for _, p := range processes[:len(processes)-1] { // the last process is the stand-ins
		before := tr.chargesDone.Load()
		assert.NilError(t, p.Stop())
		assert.NilError(t, p.Start())
		waitForVersion(t, c.Version(), c.AdminAddresses()...)
		for _, e := range c.Entries() {
			waitForState(t, e, membership.StateLive, "side-1", "side-2", "plain-1", "plain-2")
		}
		cluster.Eventually(t, func() error {
			if tr.chargesDone.Load() < before+20 {
				return fmt.Errorf("%d charges since the restart of %s", tr.chargesDone.Load()-before, p.Name)
			}
			return nil
		})
	}
	close(tr.stop)
	tr.wg.Wait()
	assert.NilError(t, errors.Join(tr.errs...))
	ran := map[string]int{}
	for _, s := range []*cluster.Side{c.Plain(1), c.Plain(2)} {
		for _, call := range callsAt(t, s) {
			_, key, _ := strings.Cut(call.Key, "/")
			ran[key]++
		}
	}
	for _, key := range tr.keys {
		assert.Equal(t, ran[key], 1, key)
	}
	t.Logf("%d charges and %d streams completed, none lost", tr.chargesDone.Load(), tr.streamsDone.Load())
}
