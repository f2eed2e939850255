package config

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drawConfiguration draws a configuration with distinct names in any order.
func drawConfiguration(t *rapid.T, version uint64) *Configuration {
	c := &Configuration{Version: version, ChangeID: "c", Models: []Model{}}
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), 0, 5, rapid.ID[string])
	for _, name := range names.Draw(t, "models") {
		c.Models = append(c.Models, Model{Name: name, Version: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "version")})
	}
	for _, name := range names.Draw(t, "teams") {
		c.Teams = append(c.Teams, Team{Name: name, Priority: rapid.IntRange(0, 1).Draw(t, "priority")})
	}
	c.Policy.MoveWeight = rapid.SampledFrom([]float64{0, 1}).Draw(t, "weight")
	return c
}

func TestDeltaApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := drawConfiguration(t, 3)
		to := drawConfiguration(t, 5)
		raw, err := json.Marshal(NewDelta(from, to))
		assert.NilError(t, err)
		var d Delta
		assert.NilError(t, json.Unmarshal(raw, &d))
		got, err := d.Apply(from)
		assert.NilError(t, err)
		assert.Equal(t, Digest(got), Digest(to))
		_, err = d.Apply(to)
		assert.ErrorContains(t, err, "does not apply to version 5")
	})
}

func FuzzDelta(f *testing.F) {
	base := &Configuration{Version: 1, Models: []Model{{Name: "a"}, {Name: "b"}}}
	next := &Configuration{Version: 2, Models: []Model{{Name: "b"}, {Name: "c"}, {Name: "a", Version: "2"}}}
	seed, err := json.Marshal(NewDelta(base, next))
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte(`{"from":1,"to":1,"models":{"order":["b","b"],"removed":["a","a"],"set":[{"name":""},{"name":"b"}]}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var d Delta
		if json.Unmarshal(raw, &d) != nil {
			return
		}
		got, err := d.Apply(base)
		if err == nil && Digest(got) != d.Digest {
			t.Fatalf("applied to digest %s, want %s", Digest(got), d.Digest)
		}
	})
}
