package replay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestWorkloadIsDeterminedBySeed(t *testing.T) {
	d := Deployments[0]
	one := Generate(d, d.declaration(1), 3, 30*time.Second)
	again := Generate(d, d.declaration(1), 3, 30*time.Second)
	other := Generate(d, d.declaration(1), 4, 30*time.Second)
	assert.DeepEqual(t, one.Arrivals, again.Arrivals)
	assert.Assert(t, one.Arrivals[0] != other.Arrivals[0])
}

func TestTurnsOfASessionShareTheirPrefix(t *testing.T) {
	d := Deployments[0]
	w := Generate(d, d.declaration(1), 3, 30*time.Second)
	bySession := map[int]string{}
	shared := 0
	for _, a := range w.Arrivals {
		if previous, ok := bySession[a.Caller]; ok && strings.HasPrefix(a.Prompt, strings.TrimSuffix(previous, "]")) {
			shared++
		}
		bySession[a.Caller] = a.Prompt
	}
	assert.Assert(t, shared > len(w.Arrivals)/3, "%d of %d", shared, len(w.Arrivals))
}

func TestBoundIsReachedAtLightLoadOnly(t *testing.T) {
	d := Deployments[0]
	d.Rate = 10
	w := Generate(d, d.declaration(1), 3, 30*time.Second)
	assert.Equal(t, bound(d, w, 0), len(w.Arrivals))
	d.Rate = 2000
	w = Generate(d, d.declaration(1), 3, 10*time.Second)
	assert.Assert(t, bound(d, w, 0) < len(w.Arrivals))
}

func TestReplaceSectionKeepsOtherText(t *testing.T) {
	file := filepath.Join(t.TempDir(), "m.md")
	assert.NilError(t, os.WriteFile(file, []byte("# Head\n\nkept\n"), 0o600))
	assert.NilError(t, replaceSection(file, []byte("one\n")))
	assert.NilError(t, replaceSection(file, []byte("two\n")))
	got, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(got), sectionBegin), 1)
	assert.Assert(t, strings.Contains(string(got), "kept") && strings.Contains(string(got), "two"))
	assert.Assert(t, !strings.Contains(string(got), "one"))
}
