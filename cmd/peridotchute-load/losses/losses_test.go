package losses

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"peridotchute.example/operator/explain"
)

// TestTableOfRecordedDay reads the lines of some requests of a day with crashes,
// a shift of the models asked for, and bursts, as a collector printed them.
func TestTableOfRecordedDay(t *testing.T) {
	cmd := Command()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"testdata/entries.log"})
	assert.NilError(t, cmd.Execute())
	golden.Assert(t, out.String(), "entries.golden")
}

func TestOnlyTheFirstRefusalOfABurstIsEarly(t *testing.T) {
	p := newLogs().process(&explain.Line{})
	for _, c := range []struct {
		at    time.Duration
		quiet bool
	}{{0, true}, {500 * time.Millisecond, false}, {1400 * time.Millisecond, false}, {3 * time.Second, true}} {
		r := &request{}
		p.finish(r, &explain.Line{Offset: c.at})
		assert.Equal(t, r.quiet, c.quiet, "at %v", c.at)
	}
}

func TestMissingFileIsAnError(t *testing.T) {
	assert.ErrorContains(t, readFile(newLogs(), "testdata/none.log"), "none.log")
}

func TestOverlongLineIsAnError(t *testing.T) {
	err := newLogs().read("long", strings.NewReader(strings.Repeat("x", 2*maxLineBytes)))
	assert.ErrorContains(t, err, "too long")
}
