package residence

import (
	"strings"
	"time"

	"peridotchute.example/fleet"
)

// Begin records that an order is being sent. No other order is sent to the
// server until its outcome is known.
func (s *State) Begin(o fleet.Order, now time.Duration) { s.sent, s.sentAt = &o, now }

// Answered applies the outcome of the order that was sent. source and duration
// describe a model load.
func (s *State) Answered(outcome fleet.OrderOutcome, source Source, duration, now time.Duration) {
	o := *s.sent
	s.sent = nil
	defer s.startNextIncarnation(now)
	switch outcome {
	case fleet.OrderAccepted:
		s.applyAccepted(o, source, duration, now)
	case fleet.OrderHolds:
		s.applyHolds(o, now)
	default:
		s.synced = false
		s.scheduleReport(now + maxReportAge)
	}
}

// Lost records that the order that was sent got no answer, so it may take
// effect at any later time.
func (s *State) Lost(now time.Duration) {
	defer s.startNextIncarnation(now)
	s.lostOrders = append(s.lostOrders, *s.sent)
	s.sent, s.lostAt = nil, now
	s.synced = false
	s.scheduleReport(max(now, s.sentAt+maxReportAge))
}

// NotSent records that the order certainly did not reach the server.
func (s *State) NotSent(now time.Duration) {
	defer s.startNextIncarnation(now)
	s.sent = nil
	s.synced = false
	s.scheduleReport(now + reportInterval)
}

// startNextIncarnation switches to the incarnation that registered while the
// order was in flight, if there is one.
func (s *State) startNextIncarnation(now time.Duration) {
	if s.nextIncarnation != nil {
		s.startIncarnation(*s.nextIncarnation, now)
	}
}

func (s *State) applyAccepted(o fleet.Order, source Source, duration, now time.Duration) {
	s.seq = o.Seq + 1
	s.minSeq = s.seq
	s.dropSettledOrders()
	switch {
	case o.Adapter != "" && o.Kind == fleet.OrderLoad:
		s.addAdapter(o.Model, o.Adapter, now+adapterLoadTime)
	case o.Adapter != "":
		if a := s.adapter(o.Model, o.Adapter); a != nil {
			a.Unloading = true
		}
		s.scheduleReport(now + unloadReportInterval)
	default:
		s.work = &Work{Kind: o.Kind, Model: o.Model, Source: source, Due: now + duration}
		s.nextReport = now + duration + maxReportAge
		s.recordCopies(o)
	}
}

// recordCopies sets the weight copies that certainly exist after a load. The
// next report shows which other copies were not evicted for them.
func (s *State) recordCopies(o fleet.Order) {
	if o.Kind != fleet.OrderLoad {
		return
	}
	s.loadedAt[o.Model] = s.work.Due
	s.InMemory = map[string]bool{o.Model: true}
	s.OnDisk = map[string]bool{o.Model: true}
}

// applyHolds applies the outcome OrderHolds: the server was already in the
// ordered state. It also covers an idle adapter that was unloaded at once,
// which counts as an accepted order.
func (s *State) applyHolds(o fleet.Order, now time.Duration) {
	switch {
	case o.Adapter == "":
		s.synced = false
		s.scheduleReport(now)
	case o.Kind == fleet.OrderLoad:
		s.addAdapter(o.Model, o.Adapter, now)
	case s.adapter(o.Model, o.Adapter) != nil:
		delete(s.Models[o.Model].Adapters, o.Adapter)
		s.seq = o.Seq + 1
	}
}

func (s *State) adapter(model, adapter string) *Adapter {
	m, ok := s.Models[model]
	if !ok {
		return nil
	}
	return m.Adapters[adapter]
}

func (s *State) addAdapter(model, adapter string, ready time.Duration) {
	m, ok := s.Models[model]
	if !ok {
		return
	}
	if a := m.Adapters[adapter]; a != nil && a.Ready <= ready {
		a.Unloading = false
		return
	}
	m.Adapters[adapter] = &Adapter{Ready: ready}
}

// setResidents replaces the loaded models and keeps what is known of adapters
// that are still loaded or loading.
func (s *State) setResidents(residents []fleet.Resident, fetching []string, now time.Duration) {
	previous := s.Models
	s.Models = make(map[string]*Resident, len(residents))
	for _, r := range residents {
		m := &Resident{Adapters: make(map[string]*Adapter, len(r.Adapters))}
		s.Models[r.Model] = m
		for _, name := range r.Adapters {
			m.Adapters[name] = &Adapter{Ready: now, Unloading: wasUnloading(previous, r.Model, name)}
		}
	}
	for _, f := range fetching {
		key, ok := parseFetching(f)
		if m := s.Models[key.Model]; ok && m != nil && m.Adapters[key.Adapter] == nil {
			m.Adapters[key.Adapter] = &Adapter{Ready: readyTime(previous, key, now+adapterLoadTime)}
		}
	}
}

func wasUnloading(models map[string]*Resident, model, adapter string) bool {
	if m := models[model]; m != nil && m.Adapters[adapter] != nil {
		return m.Adapters[adapter].Unloading
	}
	return false
}

func readyTime(models map[string]*Resident, k Key, fallback time.Duration) time.Duration {
	if m := models[k.Model]; m != nil && m.Adapters[k.Adapter] != nil {
		return m.Adapters[k.Adapter].Ready
	}
	return fallback
}

// parseFetching parses MODEL/NAME@VERSION.
func parseFetching(text string) (Key, bool) {
	name, _, _ := strings.Cut(text, "@")
	model, adapter, ok := strings.Cut(name, "/")
	return Key{Model: model, Adapter: adapter}, ok
}
