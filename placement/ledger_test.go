package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
)

const settle = 10 * time.Second

func artifact(name, version string) wire.Artifact {
	return wire.Artifact{Kind: wire.KindModel, Name: name, Version: version}
}

// sentOrder is an order on its way to the simulated engine.
type sentOrder struct {
	a       wire.Artifact
	load    bool
	bytes   int64
	epoch   uint64
	id      OrderID
	dead    time.Time // the network has dropped it by then; zero while its sender waits
	process int       // of the side process that sent it
	arrived bool
	refused bool
}

// world is a side process's ledger and an engine, with the orders between them.
type world struct {
	t        *rapid.T
	now      time.Time
	capacity int64
	fencing  bool
	ledger   *Ledger
	process  int
	epoch    uint64
	held     map[wire.Artifact]int64
	fenced   uint64
	orders   []*sentOrder
	asked    []inventory
}

type inventory struct {
	at      time.Time
	held    []Holding
	process int
}

func (w *world) restart() {
	for _, o := range w.orders {
		if o.dead.IsZero() {
			o.dead = w.now.Add(settle)
		}
	}
	w.process++
	w.epoch++
	w.ledger = NewLedger(LedgerOptions{Capacity: w.capacity, Settle: settle, Fencing: w.fencing}, w.now)
}

func (w *world) used() int64 {
	var sum int64
	for _, b := range w.held {
		sum += b
	}
	return sum
}

func (w *world) load(a wire.Artifact, bytes int64) {
	id, err := w.ledger.BeginLoad(a, bytes, w.epoch)
	if err == nil {
		w.orders = append(w.orders, &sentOrder{a: a, load: true, bytes: bytes, epoch: w.epoch, id: id, process: w.process})
	}
}

func (w *world) unload(a wire.Artifact) {
	id, err := w.ledger.BeginUnload(a, w.epoch)
	if err == nil {
		w.orders = append(w.orders, &sentOrder{a: a, epoch: w.epoch, id: id, process: w.process})
	}
}

// arrive lets the engine carry out an order, once, unless the network dropped it.
func (w *world) arrive(o *sentOrder) {
	if o.arrived || (!o.dead.IsZero() && w.now.After(o.dead)) {
		return
	}
	o.arrived = true
	if w.fencing && o.epoch < w.fenced {
		o.refused = true
		return
	}
	w.fenced = max(w.fenced, o.epoch)
	if !o.load {
		delete(w.held, o.a)
		return
	}
	w.held[o.a] = o.bytes
}

// answer tells the ledger of an order that arrived.
func (w *world) answer(o *sentOrder) {
	if !o.arrived || !o.dead.IsZero() || o.process != w.process {
		return
	}
	o.dead = w.now
	if o.refused {
		w.ledger.NotDone(o.a, o.id)
		return
	}
	w.ledger.Done(o.a, o.id, w.now)
}

func (w *world) giveUp(o *sentOrder) {
	if !o.dead.IsZero() || o.process != w.process {
		return
	}
	o.dead = w.now.Add(settle)
	w.epoch++
	w.ledger.Lost(o.a, o.id, w.now)
}

func (w *world) ask() {
	inv := inventory{at: w.now, process: w.process}
	for a, bytes := range w.held {
		inv.held = append(inv.held, Holding{Artifact: a, Bytes: bytes})
	}
	w.asked = append(w.asked, inv)
}

// fence has the engine acknowledge this process's number with an empty order.
func (w *world) fence() {
	w.fenced = max(w.fenced, w.epoch)
	w.ledger.Acknowledged(w.epoch, w.now)
}

func (w *world) anyOrder() *sentOrder {
	if len(w.orders) == 0 {
		return nil
	}
	return w.orders[rapid.IntRange(0, len(w.orders)-1).Draw(w.t, "order")]
}

func (w *world) step() {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "name")
	version := rapid.SampledFrom([]string{"1", "2"}).Draw(w.t, "version")
	a := artifact(name, version)
	bytes := map[string]int64{"a": 4, "b": 6, "c": 7}[name]
	switch rapid.IntRange(0, 8).Draw(w.t, "step") {
	case 0, 1:
		w.load(a, bytes)
	case 2:
		w.unload(a)
	case 3:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(w.t, "seconds")) * time.Second)
	case 4:
		w.ask()
	case 5:
		if len(w.asked) > 0 {
			inv := w.asked[len(w.asked)-1]
			w.asked = w.asked[:len(w.asked)-1]
			if inv.process == w.process {
				w.ledger.Observe(inv.held, inv.at)
			}
		}
	case 6:
		if o := w.anyOrder(); o != nil {
			w.arrive(o)
			if rapid.Bool().Draw(w.t, "answered") {
				w.answer(o)
			}
		}
	case 7:
		if o := w.anyOrder(); o != nil {
			w.giveUp(o)
		}
	case 8:
		if rapid.IntRange(0, 3).Draw(w.t, "rare") == 0 {
			w.restart()
			w.ask()
			w.ledger.Observe(w.asked[len(w.asked)-1].held, w.now)
		} else if w.fencing {
			w.fence()
		}
	}
	w.now = w.now.Add(time.Millisecond)
}

func TestNoSequenceOvercommitsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1000, 0), capacity: 12, held: map[wire.Artifact]int64{}}
		w.fencing = rapid.Bool().Draw(t, "fencing")
		w.restart()
		w.now = w.now.Add(settle + time.Second)
		w.ledger.Observe(nil, w.now)
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			w.step()
			assert.Assert(t, w.used() <= w.capacity, "the engine holds %d of %d bytes: %v", w.used(), w.capacity, w.held)
		}
	})
}

func TestALostLoadCountsUntilItSettles(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(LedgerOptions{Capacity: 10, Settle: settle}, now.Add(-2*settle))
	l.Observe(nil, now.Add(-time.Second))
	id, err := l.BeginLoad(artifact("a", "1"), 8, 1)
	assert.NilError(t, err)
	l.Lost(artifact("a", "1"), id, now)
	l.Observe(nil, now.Add(time.Second))
	_, err = l.BeginLoad(artifact("a", "2"), 8, 1)
	assert.Assert(t, fault.Is(err, fault.KindRefused))
	l.Observe(nil, now.Add(settle+time.Second))
	_, err = l.BeginLoad(artifact("a", "2"), 8, 1)
	assert.NilError(t, err)
}

func TestALostUnloadIsNotUsableUntilItSettles(t *testing.T) {
	now := time.Unix(1000, 0)
	a := artifact("a", "1")
	l := NewLedger(LedgerOptions{Capacity: 10, Settle: settle}, now.Add(-2*settle))
	l.Observe(nil, now.Add(-time.Second))
	l.Observe([]Holding{{Artifact: a, Bytes: 8}}, now)
	assert.Assert(t, l.Usable(a))
	id, err := l.BeginUnload(a, 1)
	assert.NilError(t, err)
	l.Lost(a, id, now)
	l.Observe([]Holding{{Artifact: a, Bytes: 8}}, now.Add(time.Second))
	assert.Assert(t, !l.Usable(a))
	l.Observe([]Holding{{Artifact: a, Bytes: 8}}, now.Add(settle+time.Second))
	assert.Assert(t, l.Usable(a))
}

func TestARestartedProcessReservesNothingAtFirst(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(LedgerOptions{Capacity: 10, Settle: settle}, now)
	l.Observe(nil, now.Add(time.Second))
	_, err := l.BeginLoad(artifact("a", "1"), 1, 1)
	assert.Assert(t, fault.Is(err, fault.KindUnavailable))
	l.Observe(nil, now.Add(settle+time.Second))
	_, err = l.BeginLoad(artifact("a", "1"), 1, 1)
	assert.NilError(t, err)
}
