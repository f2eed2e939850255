package config

import "fmt"

// Delta is the change from one version of the configuration to a later one.
type Delta struct {
	From     uint64                `json:"from"`
	To       uint64                `json:"to"`
	ChangeID string                `json:"change_id"` // of version To
	Digest   string                `json:"digest"`    // of version To
	Regions  SectionDelta[Region]  `json:"regions,omitzero"`
	Pools    SectionDelta[Pool]    `json:"pools,omitzero"`
	Models   SectionDelta[Model]   `json:"models,omitzero"`
	Adapters SectionDelta[Adapter] `json:"adapters,omitzero"`
	Services SectionDelta[Service] `json:"services,omitzero"`
	Teams    SectionDelta[Team]    `json:"teams,omitzero"`
	Policy   *Policy               `json:"policy,omitempty"` // nil when unchanged
}

// SectionDelta is the change of one section. Order lists all names and is only
// set if keeping old items in place and appending new ones yields another order.
type SectionDelta[T any] struct {
	Set     []T      `json:"set,omitempty"` // added or changed items
	Removed []string `json:"removed,omitempty"`
	Order   []string `json:"order,omitempty"`
}

// NewDelta returns the change from one version to a later one. A nil from counts
// as an empty configuration.
func NewDelta(from, to *Configuration) Delta {
	if from == nil {
		from = &Configuration{}
	}
	d := Delta{
		From:     from.Version,
		To:       to.Version,
		ChangeID: to.ChangeID,
		Digest:   Digest(to),
		Regions:  newSectionDelta(from.Regions, to.Regions, Region.name),
		Pools:    newSectionDelta(from.Pools, to.Pools, Pool.name),
		Models:   newSectionDelta(from.Models, to.Models, Model.name),
		Adapters: newSectionDelta(from.Adapters, to.Adapters, Adapter.name),
		Services: newSectionDelta(from.Services, to.Services, Service.name),
		Teams:    newSectionDelta(from.Teams, to.Teams, Team.name),
	}
	if from.Policy != to.Policy {
		policy := to.Policy
		d.Policy = &policy
	}
	return d
}

// Apply returns base with the delta applied. It fails if base is not version
// d.From or the digest of the result is not d.Digest.
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
		return nil, fmt.Errorf("delta %d to %d results in digest %s, want %s", d.From, d.To, got, d.Digest)
	}
	return out, nil
}

func newSectionDelta[T any](from, to []T, name func(T) string) SectionDelta[T] {
	before := byName(from, name)
	after := byName(to, name)
	var d SectionDelta[T]
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

func (d SectionDelta[T]) apply(base []T, name func(T) string) []T {
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
