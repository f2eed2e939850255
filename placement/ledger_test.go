package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"peridotchute.example/common/fault"
	"peridotchute.example/common/wire"
)

const settleTime = 10 * time.Second

func artifact(name, version string) wire.Artifact {
	return wire.Artifact{Kind: wire.KindModel, Name: name, Version: version}
}

// sentOrder is an order sent to the simulated engine.
type sentOrder struct {
	artifact     wire.Artifact
	load         bool
	bytes        int64
	fencingToken uint64
	id           OrderID
	droppedAt    time.Time // time after which the network no longer delivers it; zero while the sender waits for the answer
	process      int       // number of the side process that sent it
	arrived      bool
	refused      bool
}

// ledgerSim simulates a side process with its ledger, an engine, and the orders
// between them.
type ledgerSim struct {
	t            *rapid.T
	now          time.Time
	capacity     int64
	fencing      bool
	ledger       *Ledger
	process      int
	fencingToken uint64
	loaded       map[wire.Artifact]int64
	highestToken uint64
	orders       []*sentOrder
	inventories  []inventory
}

type inventory struct {
	at      time.Time
	loaded  []Holding
	process int
}

func (w *ledgerSim) restart() {
	for _, o := range w.orders {
		if o.droppedAt.IsZero() {
			o.droppedAt = w.now.Add(settleTime)
		}
	}
	w.process++
	w.fencingToken++
	w.ledger = NewLedger(LedgerOptions{Capacity: w.capacity, Settle: settleTime, Fencing: w.fencing}, w.now)
}

func (w *ledgerSim) used() int64 {
	var sum int64
	for _, b := range w.loaded {
		sum += b
	}
	return sum
}

func (w *ledgerSim) load(a wire.Artifact, bytes int64) {
	id, err := w.ledger.BeginLoad(a, bytes, w.fencingToken)
	if err == nil {
		w.orders = append(w.orders, &sentOrder{artifact: a, load: true, bytes: bytes, fencingToken: w.fencingToken, id: id, process: w.process})
	}
}

func (w *ledgerSim) unload(a wire.Artifact) {
	id, err := w.ledger.BeginUnload(a, w.fencingToken)
	if err == nil {
		w.orders = append(w.orders, &sentOrder{artifact: a, fencingToken: w.fencingToken, id: id, process: w.process})
	}
}

// deliver makes the engine carry out an order once, unless the network has
// dropped it.
func (w *ledgerSim) deliver(o *sentOrder) {
	if o.arrived || (!o.droppedAt.IsZero() && w.now.After(o.droppedAt)) {
		return
	}
	o.arrived = true
	if w.fencing && o.fencingToken < w.highestToken {
		o.refused = true
		return
	}
	w.highestToken = max(w.highestToken, o.fencingToken)
	if !o.load {
		delete(w.loaded, o.artifact)
		return
	}
	w.loaded[o.artifact] = o.bytes
}

// answer reports the outcome of a delivered order to the ledger.
func (w *ledgerSim) answer(o *sentOrder) {
	if !o.arrived || !o.droppedAt.IsZero() || o.process != w.process {
		return
	}
	o.droppedAt = w.now
	if o.refused {
		w.ledger.NotDone(o.artifact, o.id)
		return
	}
	w.ledger.Done(o.artifact, o.id, w.now)
}

func (w *ledgerSim) loseAnswer(o *sentOrder) {
	if !o.droppedAt.IsZero() || o.process != w.process {
		return
	}
	o.droppedAt = w.now.Add(settleTime)
	w.fencingToken++
	w.ledger.Lost(o.artifact, o.id, w.now)
}

func (w *ledgerSim) requestInventory() {
	inv := inventory{at: w.now, process: w.process}
	for a, bytes := range w.loaded {
		inv.loaded = append(inv.loaded, Holding{Artifact: a, Bytes: bytes})
	}
	w.inventories = append(w.inventories, inv)
}

// fence makes the engine acknowledge the process's fencing token with an empty
// order.
func (w *ledgerSim) fence() {
	w.highestToken = max(w.highestToken, w.fencingToken)
	w.ledger.Acknowledged(w.fencingToken, w.now)
}

func (w *ledgerSim) randomOrder() *sentOrder {
	if len(w.orders) == 0 {
		return nil
	}
	return w.orders[rapid.IntRange(0, len(w.orders)-1).Draw(w.t, "order")]
}

func (w *ledgerSim) step() {
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
		w.requestInventory()
	case 5:
		if len(w.inventories) > 0 {
			inv := w.inventories[len(w.inventories)-1]
			w.inventories = w.inventories[:len(w.inventories)-1]
			if inv.process == w.process {
				w.ledger.Observe(inv.loaded, inv.at)
			}
		}
	case 6:
		if o := w.randomOrder(); o != nil {
			w.deliver(o)
			if rapid.Bool().Draw(w.t, "answered") {
				w.answer(o)
			}
		}
	case 7:
		if o := w.randomOrder(); o != nil {
			w.loseAnswer(o)
		}
	case 8:
		if rapid.IntRange(0, 3).Draw(w.t, "rare") == 0 {
			w.restart()
			w.requestInventory()
			w.ledger.Observe(w.inventories[len(w.inventories)-1].loaded, w.now)
		} else if w.fencing {
			w.fence()
		}
	}
	w.now = w.now.Add(time.Millisecond)
}

func TestNoSequenceOvercommitsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &ledgerSim{t: t, now: time.Unix(1000, 0), capacity: 12, loaded: map[wire.Artifact]int64{}}
		w.fencing = rapid.Bool().Draw(t, "fencing")
		w.restart()
		w.now = w.now.Add(settleTime + time.Second)
		w.ledger.Observe(nil, w.now)
		steps := rapid.IntRange(20, 120).Draw(t, "steps")
		for range steps {
			w.step()
			assert.Assert(t, w.used() <= w.capacity, "the engine has loaded %d of %d bytes: %v", w.used(), w.capacity, w.loaded)
		}
	})
}

func TestLostLoadIsCountedUntilSettled(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(LedgerOptions{Capacity: 10, Settle: settleTime}, now.Add(-2*settleTime))
	l.Observe(nil, now.Add(-time.Second))
	id, err := l.BeginLoad(artifact("a", "1"), 8, 1)
	assert.NilError(t, err)
	l.Lost(artifact("a", "1"), id, now)
	l.Observe(nil, now.Add(time.Second))
	_, err = l.BeginLoad(artifact("a", "2"), 8, 1)
	assert.Assert(t, fault.Is(err, fault.KindRefused))
	l.Observe(nil, now.Add(settleTime+time.Second))
	_, err = l.BeginLoad(artifact("a", "2"), 8, 1)
	assert.NilError(t, err)
}

func TestLostUnloadIsUnusableUntilSettled(t *testing.T) {
	now := time.Unix(1000, 0)
	a := artifact("a", "1")
	l := NewLedger(LedgerOptions{Capacity: 10, Settle: settleTime}, now.Add(-2*settleTime))
	l.Observe(nil, now.Add(-time.Second))
	l.Observe([]Holding{{Artifact: a, Bytes: 8}}, now)
	assert.Assert(t, l.Usable(a))
	id, err := l.BeginUnload(a, 1)
	assert.NilError(t, err)
	l.Lost(a, id, now)
	l.Observe([]Holding{{Artifact: a, Bytes: 8}}, now.Add(time.Second))
	assert.Assert(t, !l.Usable(a))
	l.Observe([]Holding{{Artifact: a, Bytes: 8}}, now.Add(settleTime+time.Second))
	assert.Assert(t, l.Usable(a))
}

func TestRestartedProcessIsQuarantined(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(LedgerOptions{Capacity: 10, Settle: settleTime}, now)
	l.Observe(nil, now.Add(time.Second))
	_, err := l.BeginLoad(artifact("a", "1"), 1, 1)
	assert.Assert(t, fault.Is(err, fault.KindUnavailable))
	l.Observe(nil, now.Add(settleTime+time.Second))
	_, err = l.BeginLoad(artifact("a", "1"), 1, 1)
	assert.NilError(t, err)
}
