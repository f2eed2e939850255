package residence

import (
	"math"
	"time"

	"peridotchute.example/fleet"
)

// usedMemory returns the memory that the server's residents take, with what is being
// loaded and what a lost order may still load. repeat is an order that may be
// given again without taking the memory twice.
func (s *State) usedMemory(e *fleet.Engine, repeat Key) float64 {
	mb := 0.0
	for name, m := range s.Models {
		model, ok := e.Models[name]
		if !ok {
			return math.Inf(1) // its size is not told
		}
		mb += model.WeightsMB + float64(len(m.Adapters))*model.AdapterMB
	}
	if s.work != nil && s.work.Kind == fleet.OrderLoad && s.Models[s.work.Model] == nil {
		model, ok := e.Models[s.work.Model]
		if !ok {
			return math.Inf(1) // given by another process
		}
		mb += model.WeightsMB
	}
	for k := range s.possibleLoads(repeat) {
		mb += sizeOf(e, k)
	}
	return mb
}

// freeMemory returns the memory for an order that loads the key.
func (s *State) freeMemory(e *fleet.Engine, k Key) float64 { return e.WeightsMB - s.usedMemory(e, k) }

// possibleLoads returns what lost orders may still load, but for repeat.
func (s *State) possibleLoads(repeat Key) map[Key]bool {
	out := map[Key]bool{}
	for _, o := range s.lostOrders {
		k := Key{Model: o.Model, Adapter: o.Adapter}
		if o.Kind == fleet.OrderLoad && k != repeat && !s.hasLoaded(k) {
			out[k] = true
		}
	}
	return out
}

func (s *State) hasLoaded(k Key) bool {
	m := s.Models[k.Model]
	return m != nil && (k.Adapter == "" || m.Adapters[k.Adapter] != nil)
}

func sizeOf(e *fleet.Engine, k Key) float64 {
	if k.Adapter != "" {
		return e.Models[k.Model].AdapterMB
	}
	return e.Models[k.Model].WeightsMB
}

// freeAdapterSlots returns how many adapters the server may still load, beside
// what a lost order may load.
func (s *State) freeAdapterSlots(e *fleet.Engine, k Key, now time.Duration) int {
	held, fetching := 0, 0
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			held++
			if a.Ready > now {
				fetching++
			}
		}
	}
	for lost := range s.possibleLoads(k) {
		if lost.Adapter != "" {
			held++
			fetching++
		}
	}
	return min(e.AdapterSlots-held, maxFetching-fetching)
}

// loadSource returns where the server would load the model's weights from, and how
// long that takes.
func (s *State) loadSource(m fleet.Model) (Source, time.Duration) {
	switch {
	case s.InMemory[m.Name] && m.WarmLoad > 0:
		return SourceMemory, m.WarmLoad
	case s.OnDisk[m.Name] && m.DiskLoad > 0:
		return SourceDisk, m.DiskLoad
	default:
		return SourceStore, m.Load
	}
}
