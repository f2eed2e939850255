package config

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/common/settings"
)

const hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// declaration has at least one item in each section; each test replaces a part.
const declaration = `{ // fishing
  "version": 0,
  "regions": [{"name": "east", "zones": ["e1", "e2"], "store": true}, {"name": "west", "zones": ["w1"]}],
  "pools": [{"name": "gpu", "memory_bytes": 100}, {"name": "till"}],
  "models": [{"name": "fly", "version": "1", "pool": "gpu", "memory_bytes": 60}],
  "adapters": [{"name": "trout", "version": "1", "model": "fly", "memory_bytes": 10}],
  "services": [{"name": "card", "pool": "till", "actions": [{"method": "POST", "path": "/charge"}]}],
  "teams": [{"name": "shop", "key_hashes": ["` + hashA + `"]}],
  "policy": {"attainment_weight": 1, "move_weight": 1, "loads_per_second": 2, "concurrent_loads": 3,
    "adapter_loads": 90, "link_bytes_per_second": 3750000, "outcome_retention_s": 0, "default_deadline_ms": 0, "max_body_bytes": 0},
}`

var oneServerPerPool = Fleet{{Pool: "gpu", Servers: 1}, {Pool: "till", Servers: 1}}

func TestParseProblems(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		fleet    Fleet
		want     []string // line: field: part of the message
	}{
		{name: "valid"},
		{name: "unknown pool", old: `"pool": "gpu"`, new: `"pool": "gpus"`, want: []string{`d:5: field "models[0].pool": pool "gpus" is not declared`}},
		{name: "unknown model", old: `"model": "fly"`, new: `"model": "fry"`, want: []string{`d:6: field "adapters[0].model": model "fry" is not declared`}},
		{name: "adapter named as a model", old: `"trout"`, new: `"fly"`, want: []string{`d:6: field "adapters[0].name": model or adapter "fly" is already declared by models[0].name`}},
		{name: "zone in two regions", old: `"w1"`, new: `"e2"`, want: []string{`d:3: field "regions[1].zones[0]": availability zone "e2" is already declared by regions[0].zones[1]`}},
		{name: "two stores", old: `["w1"]`, new: `["w1"], "store": true`, want: []string{`d:3: field "regions[1].store": the weight store is already in region "east"`}},
		{name: "version with separator", old: `"trout", "version": "1"`, new: `"trout", "version": "1@2"`, want: []string{`d:6: field "adapters[0].version": "1@2" contains @`}},
		{name: "more adapters than models", old: `"memory_bytes": 10}`, new: `"memory_bytes": 10, "replicas": 2}`, want: []string{`d:6: field "adapters[0].replicas": 2 replicas need the model "fly"`}},
		{name: "action without a backend server", fleet: Fleet{{Pool: "gpu", Servers: 1}, {Pool: "till"}}, want: []string{`d:7: field "services[0].pool": service card would have no backend server`}},
		{name: "path", old: `"/charge"`, new: `"charge"`, want: []string{`d:7: field "services[0].actions[0].path": "charge" is not a path`}},
		{name: "action in both lists", old: `"/charge"}]`, new: `"/charge"}], "idempotent": [{"method": "POST", "path": "/charge"}]`, want: []string{`d:7: field "services[0].idempotent[0]": POST /charge is declared as an action as well`}},
		{name: "key instead of its hash", old: hashA, new: "hunter2", want: []string{`d:8: field "teams[0].key_hashes[0]": not 64 hexadecimal digits`}},
		{name: "memory in total", old: `"memory_bytes": 60`, new: `"memory_bytes": 91`, want: []string{`d:4: field "pools[0]": its models and adapters need 101 bytes, 1 servers have 100`}},
		{name: "memory fragmented over servers", old: `"memory_bytes": 60}`, new: `"memory_bytes": 60}, {"name": "b", "version": "1", "pool": "gpu", "memory_bytes": 60}, {"name": "c", "version": "1", "pool": "gpu", "memory_bytes": 60}`,
			fleet: Fleet{{Pool: "gpu", Servers: 2}, {Pool: "till", Servers: 1}}, want: []string{`d:5: field "models[2].memory_bytes": model "c" cannot be resident`}},
		{name: "adapter not beside its model", old: `"memory_bytes": 10}`, new: `"memory_bytes": 50}`,
			fleet: Fleet{{Pool: "gpu", Servers: 2}, {Pool: "till", Servers: 1}}, want: []string{`d:6: field "adapters[0].memory_bytes": adapter "trout" cannot be resident beside its model "fly"`}},
		{name: "more replicas than servers", old: `"memory_bytes": 60`, new: `"memory_bytes": 20, "replicas": 2`, want: []string{`d:5: field "models[0].replicas": 2 replicas need as many servers, pool "gpu" has 1`}},
		{name: "retention that overflows", old: `"outcome_retention_s": 0`, new: `"outcome_retention_s": 9223372037`, want: []string{`d:10: field "policy.outcome_retention_s": 9223372037 breaks the rule lte=31536000`}},
		{name: "rate that overflows", old: `"loads_per_second": 2`, new: `"loads_per_second": 1e-300`, want: []string{`d:9: field "policy.loads_per_second": 1e-300 breaks the rule gte=0.001`}},
		{name: "two problems", old: `"pool": "gpu", "memory_bytes": 60}`, new: `"pool": "gpus", "memory_bytes": 60, "size": 1}`,
			want: []string{`d:5: field "models[0].size": unknown field`, `d:5: field "models[0].pool": pool "gpus" is not declared`}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			fleet := tc.fleet
			if fleet == nil {
				fleet = oneServerPerPool
			}
			text := strings.Replace(declaration, tc.old, tc.new, 1)
			_, err := Parse("d", []byte(text), fleet)
			if len(tc.want) == 0 {
				assert.NilError(t, err)
				return
			}
			var settingsErr *settings.Error
			assert.Assert(t, errors.As(err, &settingsErr), "%v", err)
			assert.Equal(t, len(settingsErr.Problems), len(tc.want), err.Error())
			for i, p := range settingsErr.Problems {
				assert.Assert(t, strings.HasPrefix(p.String(), tc.want[i]), "%s", p)
				assert.Assert(t, p.Remedy != "")
			}
			assert.Assert(t, !strings.Contains(err.Error(), "hunter2"))
		})
	}
}

func parseDeclaration(t *testing.T, replace ...string) *Configuration {
	t.Helper()
	c, err := Parse("d", []byte(strings.NewReplacer(replace...).Replace(declaration)), Fleet{{Pool: "gpu", Servers: 2}, {Pool: "till", Servers: 1}})
	assert.NilError(t, err)
	return c
}

func TestDiff(t *testing.T) {
	from := parseDeclaration(t)
	to := parseDeclaration(t, `"memory_bytes": 60`, `"memory_bytes": 70`, `"trout"`, `"salmon"`, `"move_weight": 1`, `"move_weight": 2`)
	assert.Equal(t, Diff(from, to).String(), strings.Join([]string{
		"~ models fly: memory_bytes: 60 -> 70",
		"- adapters trout",
		"+ adapters salmon",
		"~ policy: move_weight: 1 -> 2",
	}, "\n"))
	assert.Equal(t, len(Diff(from, from)), 0)
}

func TestEffectsOfVersionChange(t *testing.T) {
	from := parseDeclaration(t)
	to := parseDeclaration(t, `"fly", "version": "1"`, `"fly", "version": "2"`)
	e := EffectsOf(from, to, Fleet{{Pool: "gpu", Servers: 1}})
	assert.Equal(t, len(e.Moves), 2)
	assert.Equal(t, e.Moves[0].Artifact.String(), "model/fly@2")
	assert.Assert(t, e.Moves[1].Unload)
	assert.Equal(t, e.Memory[0], PoolMemory{Pool: "gpu", Servers: 1, Capacity: 100, Before: 70, During: 130, After: 70})
	assert.Assert(t, strings.HasPrefix(e.Warnings[0], `pool "gpu": old and new versions need 130 bytes together`))
	assert.DeepEqual(t, e.Warnings[1:], []string{
		"regions.store is declared, but no decision uses it yet",
	})
}

func TestPolicyWarnings(t *testing.T) {
	to := parseDeclaration(t, `"concurrent_loads": 3`, `"concurrent_loads": 0`, `"outcome_retention_s": 0`, `"outcome_retention_s": 60`)
	warnings := strings.Join(EffectsOf(to, to, nil).Warnings, "\n")
	assert.Assert(t, strings.Contains(warnings, "loads_per_second limits no load"), warnings)
	assert.Assert(t, strings.Contains(warnings, "under its key after 1m0s runs again"), warnings)
}

func TestDigestCoversVersionNotChangeID(t *testing.T) {
	a, b := parseDeclaration(t), parseDeclaration(t)
	b.ChangeID = "x"
	assert.Equal(t, Digest(a), Digest(b))
	b.Version = 2
	assert.Assert(t, Digest(a) != Digest(b))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(declaration))
	f.Add([]byte(strings.Replace(declaration, `"memory_bytes": 100`, `"memory_bytes": 100, "servers": 10000`, 1)))
	f.Add([]byte(`{"regions": [], "pools": [{"name": "p", "memory_bytes": 562949953421312, "servers": 3}], "models": [{"name":"m","version":"1","pool":"p","memory_bytes":562949953421312,"replicas":3}], "teams": [], "policy": {}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Parse("d", raw, nil)
		if err != nil {
			return
		}
		again, err := Parse("d", []byte(encode(c)), nil)
		assert.NilError(t, err)
		assert.Equal(t, Digest(again), Digest(c))
		assert.Equal(t, len(Diff(c, again)), 0)
		assert.Equal(t, len(Check(c, nil)), 0)
	})
}
