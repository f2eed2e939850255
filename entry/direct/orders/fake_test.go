package orders

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"peridotchute.example/common/fault"
	"peridotchute.example/fleet"
	"peridotchute.example/store"
)

// fakeClock is a clock that tests advance.
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

// fakeTable is an in-memory table that can fail, lose answers and delay writes.
type fakeTable struct {
	store.Table
	mu      sync.Mutex
	rows    map[string]store.Row
	version int
	fail    error    // returned by all calls
	refuse  error    // returned by writes
	lose    bool     // writes take effect, but their answers are lost
	delay   bool     // writes take effect at deliver and return without an answer
	delayed []func() // writes to carry out at deliver
	era     int64    // rises with each return from an older copy
	copies  []tableCopy
}

// tableCopy is the content of a fakeTable at some moment.
type tableCopy struct {
	rows    map[string]store.Row
	version int
}

// backup keeps a copy of the table for rewind.
func (t *fakeTable) backup() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copies = append(t.copies, tableCopy{maps.Clone(t.rows), t.version})
}

// rewind makes the table return from a copy, in a new era. Versions are assigned again.
func (t *fakeTable) rewind(c tableCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.version = maps.Clone(c.rows), c.version
	t.era++
}

// inEra returns the row as a call returns it in the current era.
func (t *fakeTable) inEra(row store.Row) store.Row {
	row.Era, row.Latest = t.era, int64(t.version)
	row.Version = fmt.Sprintf("%d.%s", t.era, row.Version)
	return row
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
		return store.Row{Key: key, Era: t.era, Latest: int64(t.version)}, fault.Newf(fault.KindNotFound, "get", "", "absent")
	}
	return t.inEra(row), nil
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
	if _, withinEra, ok := strings.Cut(version, "."); ok {
		version = withinEra // the store compares no eras
	}
	if t.delay {
		t.delayed = append(t.delayed, func() { _, _ = t.set(key, version, value) })
		return store.Row{}, fault.Newf(fault.KindUnknown, "cas", "", "no answer")
	}
	return t.set(key, version, value)
}

// deliver carries out the delayed writes whose version condition still holds.
func (t *fakeTable) deliver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, write := range t.delayed {
		write()
	}
	t.delayed = nil
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
	return t.inEra(row), nil
}

// fakeServer is the state of one model server.
type fakeServer struct {
	OrderSeq int64 // number of orders accepted
	fleet.Server
	models  map[string]map[string]bool
	loading string        // model being loaded; empty if none
	until   time.Duration // end of the load
}

// fakeControl is a fake of all model servers, on a fake clock.
type fakeControl struct {
	clock  *fakeClock
	engine *fleet.Engine

	mu         sync.Mutex
	servers    map[string]*fakeServer
	accepted   []fleet.Order
	lose       bool          // orders get no answer and are kept in delayed
	delayed    []func()      // orders to carry out at deliver
	block      chan struct{} // if set, orders wait until it is closed
	arrived    chan struct{} // receives a value for each order that waits
	violations []string      // orders that exceeded the memory or the adapter slots of a server
}

func newControl(clock *fakeClock, engine *fleet.Engine, servers ...fleet.Server) *fakeControl {
	c := &fakeControl{clock: clock, engine: engine, servers: map[string]*fakeServer{}}
	for _, s := range servers {
		c.start(s)
	}
	return c
}

// start starts a new incarnation of a server with the given residents.
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
	if c.block != nil {
		c.arrived <- struct{}{}
		select {
		case <-c.block:
		case <-ctx.Done():
			return 0, fault.New(fault.KindUnknown, "order", s.ID, ctx.Err())
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lose {
		c.delayed = append(c.delayed, func() { c.execute(s.ID, s.Born, o) })
		return 0, fault.Newf(fault.KindUnknown, "order", s.ID, "no answer")
	}
	return c.execute(s.ID, s.Born, o), nil
}

func (c *fakeControl) execute(id string, born int64, o fleet.Order) fleet.OrderOutcome {
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
	if mb, adapters := f.usage(c.engine); mb > c.engine.WeightsMB || adapters > c.engine.AdapterSlots {
		c.violations = append(c.violations, fmt.Sprintf("%s: %+v", id, o))
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
		return fleet.OrderAlreadyDone
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

func (f *fakeServer) usage(e *fleet.Engine) (mb float64, adapters int) {
	mb = e.Models[f.loading].WeightsMB
	for m, adapterSet := range f.models {
		mb += e.Models[m].WeightsMB + float64(len(adapterSet))*e.Models[m].AdapterMB
		adapters += len(adapterSet)
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
	for m, adapterSet := range f.models {
		r := fleet.Resident{Model: m}
		for a := range adapterSet {
			r.Adapters = append(r.Adapters, a)
		}
		out = append(out, r)
	}
	return out
}

// view returns a view with up-to-date registrations of all servers.
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

// deliver carries out the delayed orders.
func (c *fakeControl) deliver() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, carryOut := range c.delayed {
		carryOut()
	}
	c.delayed, c.lose = nil, false
}
