package residence

import (
	"strings"
	"time"

	"peridotchute.example/fleet"
)

// Begin notes that an order is being sent. Until its answer nothing else is
// sent to the server.
func (s *State) Begin(o fleet.Order, now time.Duration) { s.sent, s.sentAt = &o, now }

// Answered takes in the answer to the order that was sent. Source and length
// are those of a model load.
func (s *State) Answered(outcome fleet.OrderOutcome, source Source, length, now time.Duration) {
	o := *s.sent
	s.sent = nil
	defer s.startNextIncarnation(now)
	switch outcome {
	case fleet.OrderAccepted:
		s.applyAccepted(o, source, length, now)
	case fleet.OrderHolds:
		s.applyHolds(o, now)
	default:
		s.synced = false
		s.scheduleReport(now + maxReportAge)
	}
}

// Lost says that no answer came to the order that was sent, so that it may be
// carried out at any later time.
func (s *State) Lost(now time.Duration) {
	defer s.startNextIncarnation(now)
	s.lostOrders = append(s.lostOrders, *s.sent)
	s.sent, s.lostAt = nil, now
	s.synced = false
	s.scheduleReport(max(now, s.sentAt+maxReportAge))
}

// NotSent says that the order certainly did not reach the server.
func (s *State) NotSent(now time.Duration) {
	defer s.startNextIncarnation(now)
	s.sent = nil
	s.synced = false
	s.scheduleReport(now + reportInterval)
}

// startNextIncarnation starts anew with an incarnation that has registered meanwhile.
func (s *State) startNextIncarnation(now time.Duration) {
	if s.nextIncarnation != nil {
		s.startIncarnation(*s.nextIncarnation, now)
	}
}

func (s *State) applyAccepted(o fleet.Order, source Source, length, now time.Duration) {
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
		s.work = &Work{Kind: o.Kind, Model: o.Model, Source: source, Due: now + length}
		s.nextReport = now + length + maxReportAge
		s.recordCopies(o)
	}
}

// recordCopies keeps what is certain of the copies after a load: those that had
// to make room for the new one are told by the next report.
func (s *State) recordCopies(o fleet.Order) {
	if o.Kind != fleet.OrderLoad {
		return
	}
	s.loadedAt[o.Model] = s.work.Due
	s.InMemory = map[string]bool{o.Model: true}
	s.OnDisk = map[string]bool{o.Model: true}
}

// applyHolds takes in that an order was already so. An idle adapter is unloaded at
// once, which counts as accepted.
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

// setResidents replaces the residents, and keeps what is known of the adapters
// that stay.
func (s *State) setResidents(residents []fleet.Resident, fetching []string, now time.Duration) {
	before := s.Models
	s.Models = make(map[string]*Resident, len(residents))
	for _, r := range residents {
		m := &Resident{Adapters: make(map[string]*Adapter, len(r.Adapters))}
		s.Models[r.Model] = m
		for _, name := range r.Adapters {
			m.Adapters[name] = &Adapter{Ready: now, Unloading: wasUnloading(before, r.Model, name)}
		}
	}
	for _, f := range fetching {
		key, ok := parseFetching(f)
		if m := s.Models[key.Model]; ok && m != nil && m.Adapters[key.Adapter] == nil {
			m.Adapters[key.Adapter] = &Adapter{Ready: readyTime(before, key, now+adapterLoadTime)}
		}
	}
}

func wasUnloading(models map[string]*Resident, model, adapter string) bool {
	if m := models[model]; m != nil && m.Adapters[adapter] != nil {
		return m.Adapters[adapter].Unloading
	}
	return false
}

func readyTime(models map[string]*Resident, k Key, otherwise time.Duration) time.Duration {
	if m := models[k.Model]; m != nil && m.Adapters[k.Adapter] != nil {
		return m.Adapters[k.Adapter].Ready
	}
	return otherwise
}

// parseFetching reads MODEL/NAME@VERSION.
func parseFetching(text string) (Key, bool) {
	name, _, _ := strings.Cut(text, "@")
	model, adapter, ok := strings.Cut(name, "/")
	return Key{Model: model, Adapter: adapter}, ok
}
