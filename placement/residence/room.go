package residence

import (
	"math"
	"time"

	"peridotchute.example/fleet"
)

// usedMemory returns the memory in MB used by the server's loaded models and
// adapters, loads in progress and loads that lost orders may still start. It
// doesn't count a lost load of retried, which may be ordered again. It is
// infinite if the size of a model is unknown.
func (s *State) usedMemory(e *fleet.Engine, retried Key) float64 {
	mb := 0.0
	for name, m := range s.Models {
		model, ok := e.Models[name]
		if !ok {
			return math.Inf(1) // size unknown
		}
		mb += model.WeightsMB + float64(len(m.Adapters))*model.AdapterMB
	}
	if s.work != nil && s.work.Kind == fleet.OrderLoad && s.Models[s.work.Model] == nil {
		model, ok := e.Models[s.work.Model]
		if !ok {
			return math.Inf(1) // size unknown: order of another process
		}
		mb += model.WeightsMB
	}
	for k := range s.possibleLoads(retried) {
		mb += sizeOf(e, k)
	}
	return mb
}

// freeMemory returns the memory in MB available for an order that loads the
// key.
func (s *State) freeMemory(e *fleet.Engine, k Key) float64 { return e.WeightsMB - s.usedMemory(e, k) }

// possibleLoads returns the keys other than retried that lost orders may still
// load.
func (s *State) possibleLoads(retried Key) map[Key]bool {
	out := map[Key]bool{}
	for _, o := range s.lostOrders {
		k := Key{Model: o.Model, Adapter: o.Adapter}
		if o.Kind == fleet.OrderLoad && k != retried && !s.hasLoaded(k) {
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

// freeAdapterSlots returns how many more adapters the server may load. Loads
// that lost orders may still start count as used slots, except a load of k.
func (s *State) freeAdapterSlots(e *fleet.Engine, k Key, now time.Duration) int {
	loaded, fetching := 0, 0
	for _, m := range s.Models {
		for _, a := range m.Adapters {
			loaded++
			if a.Ready > now {
				fetching++
			}
		}
	}
	for lost := range s.possibleLoads(k) {
		if lost.Adapter != "" {
			loaded++
			fetching++
		}
	}
	return min(e.AdapterSlots-loaded, maxFetching-fetching)
}

// loadSource returns where the server would load the model's weights from and
// the duration of the load.
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
