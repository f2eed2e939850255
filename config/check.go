package config

import (
	"errors"
	"fmt"

	"peridotchute.example/common/settings"
)

// Parse decodes a declaration, JSON with comments, and checks it as a whole.
// Every problem is reported with its field, line and remedy. file is used in
// messages only. Any error is of type *settings.Error.
func Parse(file string, raw []byte, fleet Fleet) (*Configuration, error) {
	c := &Configuration{}
	err := settings.Decode(file, raw, c)
	found := &settings.Error{}
	if errors.As(err, &found) && found.Problems[0].Fatal {
		return nil, err
	}
	deeper := Check(c, fleet)
	for i := range deeper {
		deeper[i].File = file
	}
	settings.Locate(raw, deeper)
	problems := append(found.Problems, deeper...)
	if len(problems) > 0 {
		return nil, &settings.Error{Problems: problems}
	}
	return c, nil
}

// Check returns everything wrong with a configuration that its types do not
// rule out: repeated names, unknown references, contradicting actions, and
// artifacts that cannot all be resident in the memory of their pool.
func Check(c *Configuration, fleet Fleet) []settings.Problem {
	k := &checker{c: c, fleet: fleet, pools: map[string]Pool{}, models: map[string]Model{}}
	for _, p := range c.Pools {
		k.pools[p.Name] = p
	}
	for _, m := range c.Models {
		k.models[m.Name] = m
	}
	k.regions()
	k.poolNames()
	k.artifacts()
	k.services()
	k.teams()
	if len(k.found) == 0 {
		k.memory()
	}
	return k.found
}

// checker collects the problems of one configuration.
type checker struct {
	c      *Configuration
	fleet  Fleet
	pools  map[string]Pool
	models map[string]Model
	found  []settings.Problem
}

func (k *checker) add(field, remedy, format string, args ...any) {
	k.found = append(k.found, settings.Problem{Field: field, Message: fmt.Sprintf(format, args...), Remedy: remedy})
}

// names reports a name that is used twice in one namespace or cannot be sent.
type names struct {
	k    *checker
	what string
	seen map[string]string // name to the field that has it
}

func (k *checker) namespace(what string) *names {
	return &names{k: k, what: what, seen: map[string]string{}}
}

func (n *names) add(field, name string) {
	if name == "" {
		return // reported as missing by the field's own rule
	}
	if !printable(name) {
		n.k.add(field, "use printable ASCII without spaces", "%q cannot be sent in a header", name)
	}
	if first, ok := n.seen[name]; ok {
		n.k.add(field, "rename one of them", "%s %q is already declared by %s", n.what, name, first)
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

func (k *checker) regions() {
	regions := k.namespace("region")
	zones := k.namespace("availability zone")
	store := ""
	for i, r := range k.c.Regions {
		at := fmt.Sprintf("regions[%d]", i)
		regions.add(at+".name", r.Name)
		for j, z := range r.Zones {
			zones.add(fmt.Sprintf("%s.zones[%d]", at, j), z)
		}
		if r.Store && store != "" {
			k.add(at+".store", "keep store in one region", "the weight store already stands in region %q", store)
		}
		if r.Store {
			store = r.Name
		}
	}
}

func (k *checker) poolNames() {
	pools := k.namespace("pool")
	for i, p := range k.c.Pools {
		pools.add(fmt.Sprintf("pools[%d].name", i), p.Name)
	}
}

func (k *checker) artifacts() {
	served := k.namespace("model or adapter")
	for i, m := range k.c.Models {
		at := fmt.Sprintf("models[%d]", i)
		served.add(at+".name", m.Name)
		k.version(at, m.Version)
		k.pool(at, m.Pool, "model "+m.Name)
	}
	for i, a := range k.c.Adapters {
		at := fmt.Sprintf("adapters[%d]", i)
		served.add(at+".name", a.Name)
		k.version(at, a.Version)
		k.base(at, a)
	}
}

func (k *checker) version(at, version string) {
	if !printable(version) {
		k.add(at+".version", "use printable ASCII without spaces", "%q cannot be sent in a header", version)
	}
	for _, b := range version {
		if b == '@' {
			k.add(at+".version", "leave @ out", "%q contains @, which separates name and version", version)
			return
		}
	}
}

// pool checks a reference to a pool and that the pool has a backend server.
func (k *checker) pool(at, name, user string) {
	p, ok := k.pools[name]
	if !ok {
		if name != "" {
			k.add(at+".pool", "declare the pool or correct the name", "pool %q is not declared", name)
		}
		return
	}
	if n, known := k.fleet.servers(p); known && n == 0 {
		k.add(at+".pool", "start a backend server of the pool first", "%s would have no backend server: pool %q has none", user, name)
	}
}

func (k *checker) base(at string, a Adapter) {
	m, ok := k.models[a.Model]
	if !ok {
		if a.Model != "" {
			k.add(at+".model", "declare the model or correct the name", "model %q is not declared", a.Model)
		}
		return
	}
	if a.Replicas > max(m.Replicas, 1) {
		k.add(at+".replicas", "raise the model's replicas", "%d replicas need the model %q on as many servers, which has %d", a.Replicas, m.Name, max(m.Replicas, 1))
	}
}
