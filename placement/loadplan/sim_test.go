package loadplan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"peridotchute.example/fleet"
)

// simServer is the actual state of a simulated model server.
type simServer struct {
	id            string
	software      string
	born          int64
	seq           int64
	version       int64
	models        map[string]map[string]time.Duration // by model and adapter: when the adapter is loaded
	busy          *Work
	inMemory      []string
	onDisk        []string
	registrations []fleet.Server // oldest first
}

// lateOrder is a lost order that is carried out later.
type lateOrder struct {
	server string
	order  fleet.Order
}

// sim simulates model servers and the placement state that is derived from
// them.
type sim struct {
	engine          *fleet.Engine
	placement       *PlacementState
	now             time.Duration
	servers         map[string]*simServer
	late            []lateOrder
	loadStarts      []time.Duration // start times of loads from the weight store
	unloaded        []Key
	violations      []string
	refusesAdapters bool // servers reject adapter orders during model orders

	rates        map[string]float64       // requests per second by model, used by run
	refusedSince map[string]time.Duration // time of the first rejected request, by model that is not loaded anywhere
	maxWait      time.Duration            // longest time from such a rejection to a load
	random       *rand.Rand
}

func newSim(e *fleet.Engine, window time.Duration) *sim {
	return &sim{engine: e, placement: NewPlacementState(window, 1.1), now: time.Hour, servers: map[string]*simServer{}, refusedSince: map[string]time.Duration{}, random: rand.New(rand.NewPCG(1, 2))}
}

func (m *sim) start(id string, models ...string) *simServer {
	s := &simServer{id: id, models: map[string]map[string]time.Duration{}}
	if old := m.servers[id]; old != nil {
		s.born, s.version, s.onDisk, s.software = old.born+1, old.version, old.onDisk, old.software
	}
	for _, model := range models {
		s.models[model] = map[string]time.Duration{}
	}
	m.servers[id] = s
	m.snapshot(s)
	return s
}

func (m *sim) snapshot(s *simServer) {
	s.version++
	sv := fleet.Server{ID: s.id, Software: s.software, Born: s.born, Registration: s.version, InMemory: s.inMemory, OnDisk: s.onDisk}
	sv.Residents, sv.Fetching = m.residents(s)
	s.registrations = append(s.registrations, sv)
}

func (m *sim) residents(s *simServer) (residents []fleet.Resident, fetching []string) {
	for _, model := range sortedKeys(s.models) {
		r := fleet.Resident{Model: model}
		for _, name := range sortedKeys(s.models[model]) {
			if s.models[model][name] > m.now {
				fetching = append(fetching, model+"/"+name+"@1")
			} else {
				r.Adapters = append(r.Adapters, name)
			}
		}
		residents = append(residents, r)
	}
	return residents, fetching
}

// update applies the registrations to the placement state. age returns how many
// registrations back to go for each server.
func (m *sim) update(age func() int) {
	var list []fleet.Server
	for _, id := range sortedKeys(m.servers) {
		rows := m.servers[id].registrations
		list = append(list, rows[max(len(rows)-1-age(), 0)])
	}
	m.placement.Update(m.engine, list, m.now)
}

// advance moves the clock forward and completes the orders that are due.
func (m *sim) advance(d time.Duration) {
	m.now += d
	for _, id := range sortedKeys(m.servers) {
		s := m.servers[id]
		if s.busy == nil || s.busy.Due > m.now {
			continue
		}
		if s.busy.Kind == fleet.OrderLoad {
			s.models[s.busy.Model] = map[string]time.Duration{}
		} else {
			delete(s.models, s.busy.Model)
		}
		s.busy = nil
		m.snapshot(s)
	}
}

func (m *sim) report(id string) {
	s := m.servers[id]
	r := fleet.Report{OrderSeq: s.seq, Born: s.born, Busy: s.busy != nil, InMemory: s.inMemory, OnDisk: s.onDisk}
	r.Residents, r.Fetching = m.residents(s)
	m.placement.Report(m.placement.Servers[id], r, m.now)
}

// order sends an order. A lost one gets no answer, and if late is set it is
// carried out only later.
func (m *sim) order(id string, o fleet.Order, lost, late bool) {
	st := m.placement.Servers[id]
	m.placement.BeginOrder(st, o, m.now)
	switch {
	case lost && late:
		m.late = append(m.late, lateOrder{server: id, order: o})
		st.Lost(m.now)
	case lost:
		m.carryOut(id, o)
		st.Lost(m.now)
	default:
		m.placement.ApplyOutcome(st, m.carryOut(id, o), m.now)
	}
}

func (m *sim) carryOut(id string, o fleet.Order) fleet.OrderOutcome {
	s := m.servers[id]
	if o.Seq != s.seq || (s.busy != nil && (o.Adapter == "" || m.refusesAdapters)) {
		return fleet.OrderBusy
	}
	loaded := s.models[o.Model]
	if o.Adapter != "" && loaded == nil {
		return fleet.OrderInvalid
	}
	outcome := m.apply(s, o)
	m.snapshot(s)
	m.check(s, o)
	return outcome
}

func (m *sim) apply(s *simServer, o fleet.Order) fleet.OrderOutcome {
	_, has := s.models[o.Model][o.Adapter]
	switch {
	case o.Adapter != "" && has == (o.Kind == fleet.OrderLoad):
		return fleet.OrderAlreadyDone
	case o.Adapter != "" && has:
		delete(s.models[o.Model], o.Adapter)
		s.seq++
		return fleet.OrderAlreadyDone
	case o.Adapter != "":
		s.models[o.Model][o.Adapter] = m.now + adapterLoadTime/2
	case o.Kind == fleet.OrderUnload:
		m.unloaded = append(m.unloaded, Key{Model: o.Model})
		s.busy = &Work{Kind: o.Kind, Model: o.Model, Due: m.now + 200*time.Millisecond}
	default:
		m.load(s, o.Model)
	}
	s.seq++
	return fleet.OrderAccepted
}

// load starts a load, from a copy if the server has one, and updates the
// copies: the last loaded model in memory, the last two on disk.
func (m *sim) load(s *simServer, model string) {
	duration := m.engine.Models[model].WarmLoad
	if !slices.Contains(s.inMemory, model) {
		duration = m.engine.Models[model].DiskLoad
	}
	if !slices.Contains(s.inMemory, model) && !slices.Contains(s.onDisk, model) {
		duration = m.engine.Models[model].Load
		m.loadStarts = append(m.loadStarts, m.now)
	}
	s.busy = &Work{Kind: fleet.OrderLoad, Model: model, Due: m.now + duration}
	s.inMemory = newest(s.inMemory, model, 1)
	s.onDisk = newest(s.onDisk, model, 2)
}

func newest(names []string, add string, limit int) []string {
	out := []string{add}
	for _, n := range names {
		if n != add && len(out) < limit {
			out = append(out, n)
		}
	}
	return out
}

// check records a violation if an order exceeded the limits of a server.
func (m *sim) check(s *simServer, o fleet.Order) {
	mb, adapters := 0.0, 0
	for model, loaded := range s.models {
		mb += m.engine.Models[model].WeightsMB + float64(len(loaded))*m.engine.Models[model].AdapterMB
		adapters += len(loaded)
	}
	if s.busy != nil && s.busy.Kind == fleet.OrderLoad {
		mb += m.engine.Models[s.busy.Model].WeightsMB
	}
	if mb > m.engine.WeightsMB || adapters > m.engine.AdapterSlots {
		m.violations = append(m.violations, fmt.Sprintf("%s has loaded %.0f MB and %d adapters after %+v", s.id, mb, adapters, o))
	}
}

// run plans and carries out all orders for the given duration, without losses.
func (m *sim) run(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.update(func() int { return 0 })
		m.observe(100 * time.Millisecond)
		for _, step := range m.placement.Plan(m.now) {
			m.order(step.Server, step.Order, false, false)
		}
		for _, id := range sortedKeys(m.placement.Servers) {
			if m.placement.Servers[id].ReportDue(m.now) {
				m.report(id)
			}
		}
		m.advance(100 * time.Millisecond)
	}
}

// replicas returns how many servers have loaded the model.
func (m *sim) replicas(model string) int {
	n := 0
	for _, s := range m.servers {
		if _, ok := s.models[model]; ok {
			n++
		}
	}
	return n
}

// observe applies random arrivals at the simulated rates for the given
// duration.
func (m *sim) observe(d time.Duration) {
	var demand []ModelDemand
	for _, model := range sortedKeys(m.rates) {
		count := 0
		for remaining := m.rates[model] * d.Seconds(); m.random.ExpFloat64() < remaining; remaining-- {
			count++
		}
		demand = append(demand, m.arrivals(model, count))
	}
	m.placement.Demand.Observe("entry", demand, m.now)
}

func (m *sim) arrivals(model string, count int) ModelDemand {
	d := ModelDemand{Model: model, Arrivals: count, PrefillTokens: 9000 * count}
	if m.replicas(model) == 0 {
		d.Refused = count
	}
	m.recordWait(model, d.Refused)
	return d
}

func (m *sim) recordWait(model string, refused int) {
	at, waiting := m.refusedSince[model]
	switch {
	case waiting && m.replicas(model) > 0:
		m.maxWait = max(m.maxWait, m.now-at)
		delete(m.refusedSince, model)
	case !waiting && refused > 0:
		m.refusedSince[model] = m.now
	}
}

// longestWait returns the longest time for which requests for a model were
// rejected because no server had loaded it.
func (m *sim) longestWait() time.Duration {
	longest := m.maxWait
	for _, at := range m.refusedSince {
		longest = max(longest, m.now-at)
	}
	return longest
}
