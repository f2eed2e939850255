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

// believed waits until the entry believes the named servers to be in a state.
func believed(t *testing.T, e *cluster.Entry, state membership.State, names ...string) {
	t.Helper()
	cluster.Eventually(t, func() error {
		states, err := statesAt(e)
		if err != nil {
			return err
		}
		for _, name := range names {
			if states[name] != state {
				return fmt.Errorf("%s believes %s to be %q, want %q", e.Name, name, states[name], state)
			}
		}
		return nil
	})
}

// statesAt returns what an entry believes, by name of the server.
func statesAt(e *cluster.Entry) (map[string]membership.State, error) {
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

// callsAt returns how many calls the plain service behind a side process ran.
func callsAt(t *testing.T, s *cluster.Side) int {
	t.Helper()
	return len(callsOf(t, s))
}

// callsOf returns the calls that the plain service behind a side process ran.
func callsOf(t *testing.T, s *cluster.Side) []plain.Call {
	t.Helper()
	resp, err := http.Get(s.BackendURL() + "/control/calls")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var all []plain.Call
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&all))
	return all
}

// book sends idempotent calls one after the other.
func book(t *testing.T, e *cluster.Entry, n int) {
	t.Helper()
	for range n {
		a, err := act(e, slotsPath, "", "{}")
		assert.NilError(t, err)
		assert.Equal(t, a.StatusCode, http.StatusOK, a.body)
	}
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	const requests = 100
	c := cluster.Start(t, cluster.Options{Entries: 1, Plain: 2})
	e, leaving := c.Entry(1), c.Plain(2)
	believed(t, e, membership.StateLive, "plain-1", "plain-2")
	book(t, e, requests)
	if callsAt(t, leaving) == 0 {
		leaving = c.Plain(1)
	}
	assert.Assert(t, callsAt(t, leaving) > 0, "the server had no work before it left")
	assert.NilError(t, c.SetVMState(leaving.Name, store.VMLeaving))
	believed(t, e, membership.StateLeaving, leaving.Name)
	before := callsAt(t, leaving)
	book(t, e, requests)
	assert.Equal(t, callsAt(t, leaving), before)
}

func TestFrozenServerGetsNothingNew(t *testing.T) {
	const requests = 50
	c := cluster.Start(t, cluster.Options{Entries: 1, Plain: 2})
	e, frozen := c.Entry(1), c.Plain(2)
	believed(t, e, membership.StateLive, "plain-1", "plain-2")
	assert.NilError(t, frozen.Freeze())
	believed(t, e, membership.StateSuspect, "plain-2")
	before := callsAt(t, frozen)
	book(t, e, requests)
	assert.NilError(t, frozen.Resume())
	believed(t, e, membership.StateLive, "plain-2")
	assert.Equal(t, callsAt(t, frozen), before)
}

// cutRegions returns the links between the processes of two regions, and those
// of the far region to the store.
func cutRegions(c *cluster.Cluster, proxies *proxy.Server) []*proxy.Link {
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

func TestRegionsCutFromEachOther(t *testing.T) {
	proxies := proxy.NewServer()
	t.Cleanup(proxies.Close)
	c := cluster.Start(t, cluster.Options{Entries: 3, Sides: 3, Plain: 3, Zones: cluster.SampleZones(3), Proxies: proxies})
	near, far := c.Entry(1), c.Entry(3)
	everyone := []string{"side-1", "side-2", "side-3", "plain-1", "plain-2", "plain-3"}
	for _, e := range c.Entries() {
		believed(t, e, membership.StateLive, everyone...)
		served(t, e)
	}
	links := cutRegions(c, proxies)
	for _, l := range links {
		assert.NilError(t, l.Cut())
	}
	believed(t, near, membership.StateSuspect, "side-3", "plain-3")
	believed(t, far, membership.StateSuspect, "side-1", "side-2", "plain-1", "plain-2")
	believed(t, near, membership.StateLive, "side-1", "side-2", "plain-1", "plain-2")
	believed(t, far, membership.StateLive, "side-3", "plain-3")
	publishNext(t, c)
	inForce(t, c.Version(), near.Settings.AdminAddress, c.Side(1).Settings.AdminAddress)
	hold(t)
	served(t, far)
	served(t, near)
	for _, e := range c.Entries() {
		states, err := statesAt(e)
		assert.NilError(t, err)
		assert.Equal(t, len(states), len(everyone), "%s lost members", e.Name)
	}
	for _, l := range links {
		assert.NilError(t, l.Restore())
	}
	for _, e := range c.Entries() {
		believed(t, e, membership.StateLive, everyone...)
	}
	inForce(t, c.Version(), c.AdminAddresses()...)
}

// balancer sends each request over a connection of its own to an entry that has
// just said that it is ready.
type balancer struct {
	entries []*cluster.Entry
	next    atomic.Int64
	client  http.Client
}

func newBalancer(c *cluster.Cluster) *balancer {
	return &balancer{entries: c.Entries(), client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// post repeats a request until an entry has taken it and given an outcome other
// than not-run. An error means that a request in progress was cut off.
func (b *balancer) post(path, key, body string) (answer, error) {
	for {
		e := b.entries[int(b.next.Add(1))%len(b.entries)]
		if cluster.Ready(e.Settings.AdminAddress)() != nil {
			continue
		}
		a, err := sendOn(&b.client, e, path, key, body)
		var dial *net.OpError
		switch {
		case errors.As(err, &dial) && dial.Op == "dial":
		case err != nil:
			return a, fmt.Errorf("at %s: %w", e.Name, err)
		case a.cut != nil:
			return a, fmt.Errorf("cut at %s: %w", e.Name, a.cut)
		case a.outcome() != wire.OutcomeNotRun:
			return a, nil
		}
	}
}

// pace is the pause of each sender between two requests.
const pace = 20 * time.Millisecond

// traffic sends requests of both kinds until stop is closed.
type traffic struct {
	wg     sync.WaitGroup
	stop   chan struct{}
	mu     sync.Mutex
	keys   []string
	errs   []error
	sent   atomic.Int64
	stream atomic.Int64
}

func (tr *traffic) run(f func(i int) error) {
	tr.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-tr.stop:
				return
			case <-time.After(pace):
			}
			if err := f(i); err != nil {
				tr.mu.Lock()
				tr.errs = append(tr.errs, err)
				tr.mu.Unlock()
			}
		}
	})
}

func (tr *traffic) charge(b *balancer, worker int) {
	tr.run(func(i int) error {
		key := fmt.Sprintf("charge-%d-%d", worker, i)
		tr.mu.Lock()
		tr.keys = append(tr.keys, key)
		tr.mu.Unlock()
		a, err := b.post(chargePath, key, key)
		if err == nil && a.outcome() != wire.OutcomeCompleted {
			err = fmt.Errorf("%s: %s %s: %s", key, a.Status, a.outcome(), a.body)
		}
		tr.sent.Add(1)
		return err
	})
}

func (tr *traffic) streams(b *balancer) {
	const tokens = 200 // longer than the notice of a stop
	tr.run(func(int) error {
		a, err := b.post("/v1/completions", "", completion(cluster.SampleModel, tokens, true))
		if err == nil && (a.outcome() != wire.OutcomeCompleted || !strings.HasSuffix(a.body, streamEnd+"\n\n")) {
			err = fmt.Errorf("stream: %s %s: %s", a.Status, a.outcome(), a.body)
		}
		tr.stream.Add(1)
		return err
	})
}

func TestRestartOfEachProcessLosesNothing(t *testing.T) {
	c := cluster.Start(t, cluster.Options{Entries: 2, Sides: 2, Plain: 2, TimeScale: 1})
	for _, e := range c.Entries() {
		served(t, e)
	}
	charged(t, c)
	b := newBalancer(c)
	tr := &traffic{stop: make(chan struct{})}
	for worker := range 2 {
		tr.charge(b, worker)
	}
	for range 6 {
		tr.streams(b)
	}
	processes := c.Processes()
	for _, p := range processes[:len(processes)-1] { // the last one is the stand-ins
		before := tr.sent.Load()
		assert.NilError(t, p.Stop())
		assert.NilError(t, p.Start())
		inForce(t, c.Version(), c.AdminAddresses()...)
		for _, e := range c.Entries() {
			believed(t, e, membership.StateLive, "side-1", "side-2", "plain-1", "plain-2")
		}
		cluster.Eventually(t, func() error {
			if tr.sent.Load() < before+20 {
				return fmt.Errorf("%d charges since the restart of %s", tr.sent.Load()-before, p.Name)
			}
			return nil
		})
	}
	close(tr.stop)
	tr.wg.Wait()
	assert.NilError(t, errors.Join(tr.errs...))
	ran := map[string]int{}
	for _, s := range []*cluster.Side{c.Plain(1), c.Plain(2)} {
		for _, call := range callsOf(t, s) {
			_, key, _ := strings.Cut(call.Key, "/")
			ran[key]++
		}
	}
	for _, key := range tr.keys {
		assert.Equal(t, ran[key], 1, key)
	}
	t.Logf("%d charges and %d streams, none lost", tr.sent.Load(), tr.stream.Load())
}
