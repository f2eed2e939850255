package orders

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
	"peridotchute.example/placement/loadplan"
)

func testEngine(models ...string) *fleet.Engine {
	e := &fleet.Engine{WeightsMB: 220, AdapterSlots: 2, LoadsPerS: 2, Models: map[string]fleet.Model{}}
	for _, name := range models {
		e.Models[name] = fleet.Model{Name: name, WeightsMB: 100, Adapters: 9, AdapterMB: 1, Load: time.Second}
	}
	return e
}

func serverWith(id string, residents ...fleet.Resident) fleet.Server {
	return fleet.Server{ID: id, Born: 1, Service: "chat", Residents: residents}
}

// rig is a manager with fakes for its dependencies. The test steps its loops.
type rig struct {
	t       *testing.T
	clock   *fakeClock
	table   *fakeTable
	control *fakeControl
	manager *Manager

	mu      sync.Mutex
	changes map[string]ServerUpdate // newest change of each server
}

func (r *rig) recordChange(server string, c ServerUpdate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes[server] = c
}

func newRig(t *testing.T, servers ...fleet.Server) *rig {
	clock := &fakeClock{now: time.Hour}
	r := &rig{t: t, clock: clock, table: newTable(), control: newControl(clock, testEngine("m1"), servers...)}
	r.changes = map[string]ServerUpdate{}
	r.manager = r.newManager("a")
	return r
}

func (r *rig) newManager(self string) *Manager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{
		OnChange: r.recordChange,
		Table:    r.table, Control: r.control, View: r.control.view, Self: self,
		LeaseGap: testGap, Clock: r.clock.read, Log: log,
	})
}

// start makes the manager acquire the lease and read the servers.
func (r *rig) start() {
	step(r.t, r.manager.lease)
	r.manager.plan(context.Background())
}

// advance moves the clock by d, runs the lease and the planner once and waits for
// the calls that they start.
func (r *rig) advance(d time.Duration) {
	r.clock.add(d)
	step(r.t, r.manager.lease)
	r.manager.plan(context.Background())
	r.manager.mu.Lock()
	r.manager.waitCallsLocked()
	r.manager.mu.Unlock()
}

func (r *rig) ensure(model, adapter string) (string, error) {
	return r.ensureFor(EnsureRequest{Service: "chat", Model: model, Adapter: adapter})
}

// ensureFor calls Ensure and advances the clock until it returns.
func (r *rig) ensureFor(q EnsureRequest) (string, error) {
	type answer struct {
		server string
		err    error
	}
	done := make(chan answer, 1)
	go func() {
		server, err := r.manager.Ensure(context.Background(), q)
		done <- answer{server, err}
	}()
	var got answer
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		r.advance(50 * time.Millisecond)
		select {
		case got = <-done:
			return poll.Success()
		default:
			return poll.Continue("Ensure has not returned")
		}
	}, poll.WithDelay(time.Millisecond))
	return got.server, got.err
}

func TestEnsureLoadsAnAdapterOnce(t *testing.T) {
	r := newRig(t, serverWith("s1", fleet.Resident{Model: "m1"}))
	r.start()
	for range 3 {
		server, err := r.ensure("m1", "a1")
		assert.NilError(t, err)
		assert.Equal(t, server, "s1")
	}
	assert.Equal(t, len(r.control.accepted), 1)
	assert.Equal(t, r.control.accepted[0].FencingToken, int64(1))
	assert.Equal(t, r.manager.Counts(), Counts{Accepted: 1, Reports: 1}) // one initial report
}

func TestEnsureEvictsLeastRecentlyUsedAdapter(t *testing.T) {
	r := newRig(t, serverWith("s1", fleet.Resident{Model: "m1"}))
	r.start()
	for _, adapter := range []string{"a1", "a2", "a1", "a3"} {
		_, err := r.ensure("m1", adapter)
		assert.NilError(t, err)
		r.advance(time.Millisecond) // no two uses at the same time
	}
	assert.Assert(t, !r.control.servers["s1"].models["m1"]["a2"])
	assert.Equal(t, len(r.control.violations), 0, "%v", r.control.violations)
}

func TestOnlyLeaseHolderIssuesOrders(t *testing.T) {
	r := newRig(t, serverWith("s1", fleet.Resident{Model: "m1"}))
	r.start()
	other := r.newManager("b")
	step(t, other.lease)
	_, err := other.Ensure(context.Background(), EnsureRequest{Service: "chat", Model: "m1", Adapter: "a1"})
	assert.Assert(t, fault.Is(err, fault.KindUnavailable))
	r.clock.add(leaseDuration) // the lease expires without a renewal
	_, err = r.manager.Ensure(context.Background(), EnsureRequest{Service: "chat", Model: "m1", Adapter: "a1"})
	assert.Assert(t, fault.Is(err, fault.KindUnavailable))
	assert.Equal(t, len(r.control.accepted), 0)
}

func TestLostOrderTakesEffectOnce(t *testing.T) {
	r := newRig(t, serverWith("s1", fleet.Resident{Model: "m1"}))
	r.start()
	r.control.lose = true
	var caller sync.WaitGroup
	caller.Go(func() {
		_, err := r.manager.Ensure(context.Background(), EnsureRequest{Service: "chat", Model: "m1", Adapter: "a1"})
		assert.Check(t, err)
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		r.control.mu.Lock()
		defer r.control.mu.Unlock()
		if len(r.control.delayed) == 0 {
			return poll.Continue("no order was sent")
		}
		r.control.lose = false
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	for _, adapter := range []string{"a2", "a1"} {
		_, err := r.ensure("m1", adapter)
		assert.NilError(t, err)
	}
	caller.Wait()
	r.control.deliver()
	assert.Equal(t, len(r.control.accepted), 2)
	assert.Equal(t, r.control.servers["s1"].OrderSeq, int64(2))
	assert.Equal(t, len(r.control.violations), 0, "%v", r.control.violations)
}

func TestTakeoverAfterKillWithOrderInFlight(t *testing.T) {
	r := newRig(t, serverWith("s1", fleet.Resident{Model: "m1"}))
	r.start()
	killed := r.control.servers["s1"].Server
	lateOrder := fleet.Order{Kind: fleet.OrderLoad, Model: "m1", Adapter: "a1", LeaseHolder: "a", FencingToken: 1}
	r.manager = r.newManager("b")
	r.start()
	r.clock.add(leaseDuration + testGap)
	r.start()
	_, mine := r.manager.LeaseHolder()
	assert.Assert(t, !mine)
	r.clock.add(gapMargin)
	r.start()
	_, mine = r.manager.LeaseHolder()
	assert.Assert(t, mine)
	for _, adapter := range []string{"a2", "a3"} {
		_, err := r.ensure("m1", adapter)
		assert.NilError(t, err)
	}
	outcome, err := r.control.Order(context.Background(), &killed, lateOrder)
	assert.NilError(t, err)
	assert.Equal(t, outcome, fleet.OrderBusy)
	assert.Equal(t, r.control.accepted[0].FencingToken, int64(2))
	assert.Equal(t, len(r.control.violations), 0, "%v", r.control.violations)
}

func TestEnsureReplacesModel(t *testing.T) {
	r := newRig(t, serverWith("s1", fleet.Resident{Model: "m1"}, fleet.Resident{Model: "m2"}), serverWith("s2", fleet.Resident{Model: "m1"}, fleet.Resident{Model: "m2"}))
	r.control.engine = testEngine("m1", "m2", "m3")
	r.start()
	server, err := r.ensure("m3", "a1")
	assert.NilError(t, err)
	assert.Assert(t, r.control.servers[server].models["m3"]["a1"])
	assert.Equal(t, len(r.control.accepted), 3)
	assert.Equal(t, len(r.control.violations), 0, "%v", r.control.violations)
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.DeepEqual(t, r.changes[server].Residents[1], fleet.Resident{Model: "m3", Adapters: []string{"a1"}})
}

// TestEnsureLoadsModelAtSoftwareVersion asks for a model that only a server of another
// software version has loaded. The server of the version must unload a model for it.
func TestEnsureLoadsModelAtSoftwareVersion(t *testing.T) {
	servers := []fleet.Server{
		serverWith("s1", fleet.Resident{Model: "m1"}, fleet.Resident{Model: "m2"}),
		serverWith("s2", fleet.Resident{Model: "m2"}, fleet.Resident{Model: "m3"}),
	}
	servers[0].Software, servers[1].Software = "v2", "v1"
	r := newRig(t, servers...)
	r.control.engine = testEngine("m1", "m2", "m3")
	r.start()
	server, err := r.ensureFor(EnsureRequest{Service: "chat", Model: "m1", Software: "v1"})
	assert.NilError(t, err)
	assert.Equal(t, server, "s2")
	assert.Assert(t, r.control.servers["s2"].models["m1"] != nil)
	assert.Equal(t, len(r.control.accepted), 2) // unload m2, which s1 has too
	assert.Assert(t, r.control.servers["s2"].models["m3"] != nil)
	assert.Equal(t, len(r.control.violations), 0, "%v", r.control.violations)
}

// TestEnsureFailsWithoutRoomAtSoftwareVersion asks for a model whose only server of the
// version has no memory beside models that are requested and loaded nowhere else.
func TestEnsureFailsWithoutRoomAtSoftwareVersion(t *testing.T) {
	servers := []fleet.Server{
		serverWith("s1", fleet.Resident{Model: "m1"}),
		serverWith("s2", fleet.Resident{Model: "m2"}, fleet.Resident{Model: "m3"}),
	}
	servers[0].Software, servers[1].Software = "v2", "v1"
	r := newRig(t, servers...)
	r.control.engine = testEngine("m1", "m2", "m3")
	r.start()
	r.manager.ObserveDemand("a", []loadplan.ModelDemand{
		{Service: "chat", Model: "m2", Arrivals: 1},
		{Service: "chat", Model: "m3", Arrivals: 1},
	})
	_, err := r.ensureFor(EnsureRequest{Service: "chat", Model: "m1", Software: "v1"})
	assert.Assert(t, errors.Is(err, ErrNoRoom), "%v", err)
	assert.Equal(t, len(r.control.accepted), 0)
}

func TestRestartedServerStartsWithSequenceZero(t *testing.T) {
	r := newRig(t, serverWith("s1", fleet.Resident{Model: "m1"}))
	r.start()
	_, err := r.ensure("m1", "a1")
	assert.NilError(t, err)
	restarted := serverWith("s1", fleet.Resident{Model: "m1"})
	restarted.Born = 2
	r.control.start(restarted)
	r.advance(0)
	_, err = r.ensure("m1", "a1")
	assert.NilError(t, err)
	assert.Equal(t, r.control.accepted[1].Seq, int64(0))
}

func TestCloseReleasesLeaseAfterOrdersInProgress(t *testing.T) {
	r := newRig(t, serverWith("s1", fleet.Resident{Model: "m1"}))
	r.start()
	r.control.block, r.control.arrived = make(chan struct{}), make(chan struct{})
	var caller sync.WaitGroup
	caller.Go(func() {
		if _, err := r.manager.Ensure(context.Background(), EnsureRequest{Service: "chat", Model: "m1", Adapter: "a1"}); err != nil {
			assert.Check(t, fault.Is(err, fault.KindUnavailable))
		}
	})
	<-r.control.arrived
	closed := make(chan error, 1)
	go func() { closed <- r.manager.Close(context.Background()) }()
	close(r.control.block)
	assert.NilError(t, <-closed)
	caller.Wait()
	assert.Equal(t, len(r.control.accepted), 1)
	holder, mine := r.manager.LeaseHolder()
	assert.Equal(t, holder, "")
	assert.Assert(t, !mine)
}
