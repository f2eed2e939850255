package orders

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
	"peridotchute.example/store"
)

// fakeClock is a clock that tests move.
type fakeClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (c *fakeClock) read() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
}

// fakeTable is a table of one process.
type fakeTable struct {
	store.Table
	mu      sync.Mutex
	rows    map[string]store.Row
	version int
	fail    error    // of all calls
	refuse  error    // of writes
	lose    bool     // answers to writes
	delay   bool     // writes until deliver, without an answer
	late    []func() // delayed writes
}

func newTable() *fakeTable { return &fakeTable{rows: map[string]store.Row{}} }

func (t *fakeTable) Get(_ context.Context, key string) (store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fail != nil {
		return store.Row{}, t.fail
	}
	row, ok := t.rows[key]
	if !ok {
		return row, fault.Newf(fault.KindNotFound, "get", "", "absent")
	}
	return row, nil
}

func (t *fakeTable) PutIfAbsent(ctx context.Context, key string, value []byte) (store.Row, error) {
	return t.CompareAndSet(ctx, key, "", value)
}

func (t *fakeTable) CompareAndSet(_ context.Context, key, version string, value []byte) (store.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := errors.Join(t.fail, t.refuse); err != nil {
		return store.Row{}, err
	}
	if t.delay {
		t.late = append(t.late, func() { _, _ = t.set(key, version, value) })
		return store.Row{}, fault.Newf(fault.KindUnknown, "cas", "", "no answer")
	}
	return t.set(key, version, value)
}

// deliver carries out the delayed writes, as far as their conditions hold.
func (t *fakeTable) deliver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, write := range t.late {
		write()
	}
	t.late = nil
}

func (t *fakeTable) set(key, version string, value []byte) (store.Row, error) {
	if t.rows[key].Version != version {
		return store.Row{}, fault.Newf(fault.KindConflict, "cas", "", "changed")
	}
	t.version++
	row := store.Row{Key: key, Value: value, Version: fmt.Sprint(t.version)}
	t.rows[key] = row
	if t.lose {
		return store.Row{}, fault.Newf(fault.KindUnknown, "cas", "", "answer lost")
	}
	return row, nil
}

// fakeServer is a model server.
type fakeServer struct {
	OrderSeq int64 // orders accepted
	fleet.Server
	models  map[string]map[string]bool
	loading string        // model
	until   time.Duration // end of the load
}

// fakeControl is a set of model servers on a fake clock.
type fakeControl struct {
	clock  *fakeClock
	engine *fleet.Engine

	mu       sync.Mutex
	servers  map[string]*fakeServer
	accepted []fleet.Order
	lose     bool          // orders get no answer and are kept in late
	late     []func()      // orders that are still to be carried out
	hold     chan struct{} // orders wait for it, when set
	arrived  chan struct{} // told of each order that waits
	broken   []string      // limits that orders went beyond
}

func newControl(clock *fakeClock, engine *fleet.Engine, servers ...fleet.Server) *fakeControl {
	c := &fakeControl{clock: clock, engine: engine, servers: map[string]*fakeServer{}}
	for _, s := range servers {
		c.start(s)
	}
	return c
}

// start begins an incarnation of a server with the residents given.
func (c *fakeControl) start(s fleet.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := &fakeServer{Server: s, models: map[string]map[string]bool{}}
	for _, r := range s.Residents {
		f.models[r.Model] = map[string]bool{}
		for _, a := range r.Adapters {
			f.models[r.Model][a] = true
		}
	}
	c.servers[s.ID] = f
}

func (c *fakeControl) Order(ctx context.Context, s *fleet.Server, o fleet.Order) (fleet.OrderOutcome, error) {
	if c.hold != nil {
		c.arrived <- struct{}{}
		select {
		case <-c.hold:
		case <-ctx.Done():
			return 0, fault.New(fault.KindUnknown, "order", s.ID, ctx.Err())
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lose {
		c.late = append(c.late, func() { c.carryOut(s.ID, s.Born, o) })
		return 0, fault.Newf(fault.KindUnknown, "order", s.ID, "no answer")
	}
	return c.carryOut(s.ID, s.Born, o), nil
}

func (c *fakeControl) carryOut(id string, born int64, o fleet.Order) fleet.OrderOutcome {
	f := c.servers[id]
	f.finish(c.clock.read())
	if f.Born != born {
		return fleet.OrderMisdirected
	}
	if o.Seq != f.OrderSeq || (f.loading != "" && o.Adapter == "") {
		return fleet.OrderBusy
	}
	c.accepted = append(c.accepted, o)
	f.OrderSeq++
	outcome := f.apply(o, c.clock.read()+c.engine.Models[o.Model].Load)
	if mb, adapters := f.taken(c.engine); mb > c.engine.WeightsMB || adapters > c.engine.AdapterSlots {
		c.broken = append(c.broken, fmt.Sprintf("%s: %+v", id, o))
	}
	return outcome
}

func (f *fakeServer) apply(o fleet.Order, until time.Duration) fleet.OrderOutcome {
	switch {
	case o.Kind == fleet.OrderLoad && o.Adapter != "":
		f.models[o.Model][o.Adapter] = true
	case o.Kind == fleet.OrderLoad:
		f.loading, f.until = o.Model, until
	case o.Adapter != "":
		delete(f.models[o.Model], o.Adapter)
		return fleet.OrderHolds
	default:
		delete(f.models, o.Model)
	}
	return fleet.OrderAccepted
}

func (f *fakeServer) finish(now time.Duration) {
	if f.loading != "" && now >= f.until {
		f.models[f.loading], f.loading = map[string]bool{}, ""
	}
}

func (f *fakeServer) taken(e *fleet.Engine) (mb float64, adapters int) {
	mb = e.Models[f.loading].WeightsMB
	for m, held := range f.models {
		mb += e.Models[m].WeightsMB + float64(len(held))*e.Models[m].AdapterMB
		adapters += len(held)
	}
	return mb, adapters
}

func (c *fakeControl) Report(_ context.Context, s *fleet.Server) (fleet.Report, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.servers[s.ID]
	f.finish(c.clock.read())
	r := fleet.Report{Born: f.Born, OrderSeq: f.OrderSeq, Busy: f.loading != ""}
	r.Residents = f.residents()
	return r, nil
}

func (f *fakeServer) residents() []fleet.Resident {
	var out []fleet.Resident
	for m, held := range f.models {
		r := fleet.Resident{Model: m}
		for a := range held {
			r.Adapters = append(r.Adapters, a)
		}
		out = append(out, r)
	}
	return out
}

// view returns the registrations as the servers are now.
func (c *fakeControl) view() *fleet.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := &fleet.View{Config: &fleet.Config{Services: map[string]*fleet.Service{"chat": {Name: "chat", Engine: c.engine}}}}
	for _, f := range c.servers {
		s := f.Server
		s.Residents = f.residents()
		v.Servers = append(v.Servers, s)
	}
	return v
}

// deliver carries out the orders that were lost.
func (c *fakeControl) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, carryOut := range c.late {
		carryOut()
	}
	c.late, c.lose = nil, false
}
