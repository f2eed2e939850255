package config

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"peridotchute.example/common/wire"
)

// Index provides the lookups in a configuration that are needed for each request.
// It is immutable and built once per version.
type Index struct {
	Configuration  *Configuration
	models         map[string]Model
	adapters       map[string]Adapter
	services       map[string]Service
	pools          map[string]Pool
	teamsByKeyHash map[string]Team
	teamsByName    map[string]Team
	regionsByZone  map[string]string // names of regions
}

// NewIndex builds the index of a configuration.
func NewIndex(c *Configuration) *Index {
	x := &Index{
		Configuration:  c,
		models:         make(map[string]Model, len(c.Models)),
		adapters:       make(map[string]Adapter, len(c.Adapters)),
		services:       make(map[string]Service, len(c.Services)),
		pools:          make(map[string]Pool, len(c.Pools)),
		teamsByKeyHash: map[string]Team{},
		teamsByName:    map[string]Team{},
		regionsByZone:  map[string]string{},
	}
	for _, m := range c.Models {
		x.models[m.Name] = m
	}
	for _, a := range c.Adapters {
		x.adapters[a.Name] = a
	}
	for _, s := range c.Services {
		x.services[s.Name] = s
	}
	for _, p := range c.Pools {
		x.pools[p.Name] = p
	}
	for _, t := range c.Teams {
		x.teamsByName[t.Name] = t
		for _, h := range t.KeyHashes {
			x.teamsByKeyHash[strings.ToLower(h)] = t
		}
	}
	for _, r := range c.Regions {
		for _, z := range r.Zones {
			x.regionsByZone[z] = r.Name
		}
	}
	return x
}

// Model returns the named model.
func (x *Index) Model(name string) (Model, bool) { m, ok := x.models[name]; return m, ok }

// Adapter returns the named adapter.
func (x *Index) Adapter(name string) (Adapter, bool) { a, ok := x.adapters[name]; return a, ok }

// Service returns the named plain service.
func (x *Index) Service(name string) (Service, bool) { s, ok := x.services[name]; return s, ok }

// Pool returns the named pool.
func (x *Index) Pool(name string) (Pool, bool) { p, ok := x.pools[name]; return p, ok }

// RegionOf returns the region of an availability zone, or "" if the zone is not
// declared.
func (x *Index) RegionOf(zone string) string { return x.regionsByZone[zone] }

// TeamByKey returns the team that the key belongs to. Keys are compared by their
// hashes, so the comparison reveals nothing about the key.
func (x *Index) TeamByKey(key string) (Team, bool) {
	t, ok := x.teamsByKeyHash[HashKey(key)]
	return t, ok
}

// Team returns the named team.
func (x *Index) Team(name string) (Team, bool) { t, ok := x.teamsByName[name]; return t, ok }

// HashKey returns the hexadecimal SHA-256 of a key, as in Team.KeyHashes.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ResolvedModel is the result of resolving the model name of a request.
type ResolvedModel struct {
	Artifact wire.Artifact // the requested model or adapter
	Base     wire.Artifact // its base model; equal to Artifact for a model
	Model    Model         // the base model's declaration
	Bytes    int64         // accelerator memory of Artifact alone
}

// Resolve returns the model or adapter with the given name. It returns false if
// the name or the base model of the adapter is not declared.
func (x *Index) Resolve(name string) (ResolvedModel, bool) {
	if m, ok := x.models[name]; ok {
		return ResolvedModel{Artifact: m.Artifact(), Base: m.Artifact(), Model: m, Bytes: m.MemoryBytes}, true
	}
	a, ok := x.adapters[name]
	if !ok {
		return ResolvedModel{}, false
	}
	m, ok := x.models[a.Model]
	if !ok {
		return ResolvedModel{}, false
	}
	return ResolvedModel{Artifact: a.Artifact(), Base: m.Artifact(), Model: m, Bytes: a.MemoryBytes}, true
}

// NonIdempotent reports whether a call of the service must run at most once. This
// is declared by Actions and Idempotent, or else depends on whether the method is
// idempotent by RFC 9110, section 9.2.2.
func (s Service) NonIdempotent(method, path string) bool {
	for _, a := range s.Actions {
		if a.matches(method, path) {
			return true
		}
	}
	for _, a := range s.Idempotent {
		if a.matches(method, path) {
			return false
		}
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return false
	}
	return true
}

func (a Action) matches(method, path string) bool {
	if !strings.EqualFold(a.Method, method) {
		return false
	}
	prefix, wild := strings.CutSuffix(a.Path, "/*")
	if wild {
		return path == prefix || strings.HasPrefix(path, prefix+"/")
	}
	return a.Path == path
}
