package residence

import (
	"sort"
	"time"

	"peridotchute.example/fleet"
)

// Seq returns the known number of orders that the server has accepted.
func (s *State) Seq() int64 { return s.seq }

// Working reports whether a model order is in progress.
func (s *State) Working() bool { return s.work != nil }

// Ready returns when the adapter was or is expected to be loaded; 0 if the
// server neither has nor loads it.
func (s *State) Ready(k Key) time.Duration {
	if a := s.adapter(k.Model, k.Adapter); a != nil {
		return a.Ready
	}
	return 0
}

// Residents returns the models and adapters that the server has loaded and is
// not unloading, and the adapters being loaded as MODEL/NAME.
func (s *State) Residents(now time.Duration) (residents []fleet.Resident, fetching []string) {
	for _, model := range sortedKeys(s.Models) {
		if s.unloading(model) {
			continue
		}
		r := fleet.Resident{Model: model, Version: s.version(model)}
		adapters := s.Models[model].Adapters
		for _, name := range sortedKeys(adapters) {
			switch {
			case adapters[name].Unloading || s.unloadPending(Key{Model: model, Adapter: name}):
			case adapters[name].Ready > now:
				fetching = append(fetching, model+"/"+name)
			default:
				r.Adapters = append(r.Adapters, name)
			}
		}
		residents = append(residents, r)
	}
	return residents, fetching
}

func (s *State) version(model string) int {
	for _, r := range s.Server.Residents {
		if r.Model == model {
			return r.Version
		}
	}
	return 0
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}
