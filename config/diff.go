package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind is the kind of a change: an item was added, removed or changed.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations. Field, From and To are
// only set if Kind is Changed; From and To are JSON.
type Change struct {
	Kind    ChangeKind `json:"kind"`
	Section string     `json:"section"`        // such as "models"
	Name    string     `json:"name,omitempty"` // of the item; empty for the policy
	Field   string     `json:"field,omitempty"`
	From    string     `json:"from,omitempty"`
	To      string     `json:"to,omitempty"`
}

// String formats the change as one line, such as "~ models m: version: 1 -> 2".
func (c Change) String() string {
	item := strings.TrimSpace(c.Section + " " + c.Name)
	switch c.Kind {
	case Added:
		return "+ " + item
	case Removed:
		return "- " + item
	}
	return fmt.Sprintf("~ %s: %s: %s -> %s", item, c.Field, c.From, c.To)
}

// Difference lists the changes from one configuration to another by section.
// Within a section, removed items come first.
type Difference []Change

// String formats the changes, one per line.
func (d Difference) String() string {
	lines := make([]string, len(d))
	for i, c := range d {
		lines[i] = c.String()
	}
	return strings.Join(lines, "\n")
}

// Diff returns the changes from one configuration to another. A nil configuration
// counts as empty. Version and change id are ignored.
func Diff(from, to *Configuration) Difference {
	if from == nil {
		from = &Configuration{}
	}
	if to == nil {
		to = &Configuration{}
	}
	var d Difference
	d = append(d, diffItems("regions", from.Regions, to.Regions, Region.name)...)
	d = append(d, diffItems("pools", from.Pools, to.Pools, Pool.name)...)
	d = append(d, diffItems("models", from.Models, to.Models, Model.name)...)
	d = append(d, diffItems("adapters", from.Adapters, to.Adapters, Adapter.name)...)
	d = append(d, diffItems("services", from.Services, to.Services, Service.name)...)
	d = append(d, diffItems("teams", from.Teams, to.Teams, Team.name)...)
	return append(d, diffFields("policy", "", from.Policy, to.Policy)...)
}

func diffItems[T any](section string, from, to []T, name func(T) string) Difference {
	before := byName(from, name)
	after := byName(to, name)
	var d Difference
	for _, item := range from {
		if _, ok := after[name(item)]; !ok {
			d = append(d, Change{Kind: Removed, Section: section, Name: name(item)})
		}
	}
	for _, item := range to {
		old, ok := before[name(item)]
		if !ok {
			d = append(d, Change{Kind: Added, Section: section, Name: name(item)})
			continue
		}
		d = append(d, diffFields(section, name(item), old, item)...)
	}
	return d
}

func byName[T any](items []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(items))
	for _, item := range items {
		out[name(item)] = item
	}
	return out
}

// diffFields compares two structs of one type field by field.
func diffFields(section, name string, from, to any) Difference {
	a, b := reflect.ValueOf(from), reflect.ValueOf(to)
	var d Difference
	for i := range a.NumField() {
		field, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
		oldValue, newValue := encode(a.Field(i).Interface()), encode(b.Field(i).Interface())
		if oldValue != newValue {
			d = append(d, Change{Kind: Changed, Section: section, Name: name, Field: field, From: oldValue, To: newValue})
		}
	}
	return d
}

// encode returns v as JSON. Nil and empty slices have the same encoding.
func encode(v any) string {
	if list := reflect.ValueOf(v); list.Kind() == reflect.Slice && list.Len() == 0 {
		return "[]"
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// Digest returns the hexadecimal SHA-256 of the configuration's JSON. It covers
// the version but not the change id, and treats an empty section as an absent one.
func Digest(c *Configuration) string {
	canonical := *c
	canonical.ChangeID = ""
	canonical.Regions = emptyIfNil(c.Regions)
	canonical.Pools = emptyIfNil(c.Pools)
	canonical.Models = emptyIfNil(c.Models)
	canonical.Teams = emptyIfNil(c.Teams)
	raw, err := json.Marshal(canonical)
	if err != nil {
		panic("config: not encodable: " + err.Error()) // floats come from JSON, which has no NaN
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
