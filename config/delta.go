package config

import "fmt"

// Delta is the change from one version of the configuration to a later one.
type Delta struct {
	From     uint64         `json:"from"`
	To       uint64         `json:"to"`
	ChangeID string         `json:"change_id"` // of version To
	Digest   string         `json:"digest"`    // of version To
	Regions  Items[Region]  `json:"regions,omitzero"`
	Pools    Items[Pool]    `json:"pools,omitzero"`
	Models   Items[Model]   `json:"models,omitzero"`
	Adapters Items[Adapter] `json:"adapters,omitzero"`
	Services Items[Service] `json:"services,omitzero"`
	Teams    Items[Team]    `json:"teams,omitzero"`
	Policy   *Policy        `json:"policy,omitempty"` // nil when unchanged
}

// Items is what changed in one section. Order is set when the new order does
// not follow from keeping old items in place and appending new ones.
type Items[T any] struct {
	Set     []T      `json:"set,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Order   []string `json:"order,omitempty"`
}

// NewDelta returns the change from one version to a later one; from may be nil.
func NewDelta(from, to *Configuration) Delta {
	if from == nil {
		from = &Configuration{}
	}
	d := Delta{
		From:     from.Version,
		To:       to.Version,
		ChangeID: to.ChangeID,
		Digest:   Digest(to),
		Regions:  itemsBetween(from.Regions, to.Regions, Region.name),
		Pools:    itemsBetween(from.Pools, to.Pools, Pool.name),
		Models:   itemsBetween(from.Models, to.Models, Model.name),
		Adapters: itemsBetween(from.Adapters, to.Adapters, Adapter.name),
		Services: itemsBetween(from.Services, to.Services, Service.name),
		Teams:    itemsBetween(from.Teams, to.Teams, Team.name),
	}
	if from.Policy != to.Policy {
		policy := to.Policy
		d.Policy = &policy
	}
	return d
}

// Apply returns the version that the delta leads to. It fails when base is
// another version than the delta's, or the result another than was accepted.
func (d Delta) Apply(base *Configuration) (*Configuration, error) {
	if base == nil {
		base = &Configuration{}
	}
	if base.Version != d.From {
		return nil, fmt.Errorf("delta %d to %d does not apply to version %d", d.From, d.To, base.Version)
	}
	out := &Configuration{
		Version:  d.To,
		ChangeID: d.ChangeID,
		Regions:  d.Regions.apply(base.Regions, Region.name),
		Pools:    d.Pools.apply(base.Pools, Pool.name),
		Models:   d.Models.apply(base.Models, Model.name),
		Adapters: d.Adapters.apply(base.Adapters, Adapter.name),
		Services: d.Services.apply(base.Services, Service.name),
		Teams:    d.Teams.apply(base.Teams, Team.name),
		Policy:   base.Policy,
	}
	if d.Policy != nil {
		out.Policy = *d.Policy
	}
	if got := Digest(out); got != d.Digest {
		return nil, fmt.Errorf("delta %d to %d gives digest %s, want %s", d.From, d.To, got, d.Digest)
	}
	return out, nil
}

func itemsBetween[T any](from, to []T, name func(T) string) Items[T] {
	before := byName(from, name)
	after := byName(to, name)
	var d Items[T]
	for _, item := range from {
		if _, kept := after[name(item)]; !kept {
			d.Removed = append(d.Removed, name(item))
		}
	}
	for _, item := range to {
		old, known := before[name(item)]
		if !known || encode(old) != encode(item) {
			d.Set = append(d.Set, item)
		}
	}
	if !sameOrder(d.apply(from, name), to, name) {
		for _, item := range to {
			d.Order = append(d.Order, name(item))
		}
	}
	return d
}

func (d Items[T]) apply(base []T, name func(T) string) []T {
	removed := make(map[string]bool, len(d.Removed))
	for _, n := range d.Removed {
		removed[n] = true
	}
	set := byName(d.Set, name)
	var out []T
	for _, item := range base {
		if removed[name(item)] {
			continue
		}
		if replacement, ok := set[name(item)]; ok {
			item = replacement
			delete(set, name(item))
		}
		out = append(out, item)
	}
	for _, item := range d.Set {
		if _, isNew := set[name(item)]; isNew {
			out = append(out, item)
		}
	}
	return reorder(out, d.Order, name)
}

func reorder[T any](items []T, order []string, name func(T) string) []T {
	if len(order) == 0 {
		return items
	}
	known := byName(items, name)
	out := make([]T, 0, len(order))
	for _, n := range order {
		if item, ok := known[n]; ok {
			out = append(out, item)
		}
	}
	return out
}

func sameOrder[T any](a, b []T, name func(T) string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if name(a[i]) != name(b[i]) {
			return false
		}
	}
	return true
}

func (r Region) name() string  { return r.Name }
func (p Pool) name() string    { return p.Name }
func (m Model) name() string   { return m.Name }
func (a Adapter) name() string { return a.Name }
func (s Service) name() string { return s.Name }
func (t Team) name() string    { return t.Name }
