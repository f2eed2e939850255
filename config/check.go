package config

import (
	"errors"
	"fmt"

	"peridotchute.example/common/settings"
)

// Parse decodes a declaration, which is JSON with comments, and validates it.
// An error is always a *settings.Error that lists every problem with its field,
// line and remedy. file is only used in messages.
func Parse(file string, raw []byte, fleet Fleet) (*Configuration, error) {
	c := &Configuration{}
	err := settings.Decode(file, raw, c)
	decodeErr := &settings.Error{}
	if errors.As(err, &decodeErr) && decodeErr.Problems[0].Fatal {
		return nil, err
	}
	semantic := Check(c, fleet)
	for i := range semantic {
		semantic[i].File = file
	}
	settings.Locate(raw, semantic)
	problems := append(decodeErr.Problems, semantic...)
	if len(problems) > 0 {
		return nil, &settings.Error{Problems: problems}
	}
	return c, nil
}

// Check returns the problems that struct validation cannot find: duplicate
// names, unknown references, contradictory actions, and artifacts that do not
// all fit in the memory of their pool.
func Check(c *Configuration, fleet Fleet) []settings.Problem {
	k := &checker{c: c, fleet: fleet, pools: map[string]Pool{}, models: map[string]Model{}}
	for _, p := range c.Pools {
		k.pools[p.Name] = p
	}
	for _, m := range c.Models {
		k.models[m.Name] = m
	}
	k.checkRegions()
	k.checkPoolNames()
	k.checkArtifacts()
	k.checkServices()
	k.checkTeams()
	if len(k.problems) == 0 {
		k.checkMemory()
	}
	return k.problems
}

// checker collects the problems of one configuration.
type checker struct {
	c        *Configuration
	fleet    Fleet
	pools    map[string]Pool
	models   map[string]Model
	problems []settings.Problem
}

func (k *checker) add(field, remedy, format string, args ...any) {
	k.problems = append(k.problems, settings.Problem{Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// namespace reports names that are declared twice or that cannot be sent in a
// header.
type namespace struct {
	k    *checker
	kind string
	seen map[string]string // from name to the field that declares it
}

func (k *checker) newNamespace(kind string) *namespace {
	return &namespace{k: k, kind: kind, seen: map[string]string{}}
}

func (n *namespace) add(field, name string) {
	if name == "" {
		return // a missing name is reported by struct validation
	}
	if !printable(name) {
		n.k.add(field, "use printable ASCII without spaces", "%q cannot be sent in a header", name)
	}
	if first, ok := n.seen[name]; ok {
		n.k.add(field, "rename one of them", "%s %q is already declared by %s", n.kind, name, first)
		return
	}
	n.seen[name] = field
}

func printable(s string) bool {
	for _, b := range []byte(s) {
		if b <= ' ' || b > '~' {
			return false
		}
	}
	return true
}

func (k *checker) checkRegions() {
	regions := k.newNamespace("region")
	zones := k.newNamespace("availability zone")
	store := ""
	for i, r := range k.c.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		regions.add(path+".name", r.Name)
		for j, z := range r.Zones {
			zones.add(fmt.Sprintf("%s.zones[%d]", path, j), z)
		}
		if r.Store && store != "" {
			k.add(path+".store", "set store in one region only", "the weight store is already in region %q", store)
		}
		if r.Store {
			store = r.Name
		}
	}
}

func (k *checker) checkPoolNames() {
	pools := k.newNamespace("pool")
	for i, p := range k.c.Pools {
		pools.add(fmt.Sprintf("pools[%d].name", i), p.Name)
	}
}

func (k *checker) checkArtifacts() {
	artifacts := k.newNamespace("model or adapter")
	for i, m := range k.c.Models {
		path := fmt.Sprintf("models[%d]", i)
		artifacts.add(path+".name", m.Name)
		k.checkVersion(path, m.Version)
		k.checkPool(path, m.Pool, "model "+m.Name)
	}
	for i, a := range k.c.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		artifacts.add(path+".name", a.Name)
		k.checkVersion(path, a.Version)
		k.checkBaseModel(path, a)
	}
}

func (k *checker) checkVersion(path, version string) {
	if !printable(version) {
		k.add(path+".version", "use printable ASCII without spaces", "%q cannot be sent in a header", version)
	}
	for _, b := range version {
		if b == '@' {
			k.add(path+".version", "remove the @", "%q contains @, which separates name and version", version)
			return
		}
	}
}

// checkPool checks that the named pool is declared and not known to be empty.
func (k *checker) checkPool(path, name, user string) {
	p, ok := k.pools[name]
	if !ok {
		if name != "" {
			k.add(path+".pool", "declare the pool or correct the name", "pool %q is not declared", name)
		}
		return
	}
	if n, known := k.fleet.servers(p); known && n == 0 {
		k.add(path+".pool", "start a backend server of the pool first", "%s would have no backend server: pool %q has none", user, name)
	}
}

func (k *checker) checkBaseModel(path string, a Adapter) {
	m, ok := k.models[a.Model]
	if !ok {
		if a.Model != "" {
			k.add(path+".model", "declare the model or correct the name", "model %q is not declared", a.Model)
		}
		return
	}
	if a.Replicas > max(m.Replicas, 1) {
		k.add(path+".replicas", "raise the model's replicas", "%d replicas need the model %q on as many servers, which has %d", a.Replicas, m.Name, max(m.Replicas, 1))
	}
}
