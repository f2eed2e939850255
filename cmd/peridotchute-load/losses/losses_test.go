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

// TestTableOfRecordedLog reads collected log lines of some requests of a simulated
// day with crashes, a shift of demand between models, and bursts.
func TestTableOfRecordedLog(t *testing.T) {
	cmd := Command()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"testdata/entries.log"})
	assert.NilError(t, cmd.Execute())
	golden.Assert(t, out.String(), "entries.golden")
}

func TestOnlyFirstLossOfBurstIsMarked(t *testing.T) {
	p := newLogs().process(&explain.Line{})
	for _, c := range []struct {
		at           time.Duration
		firstOfBurst bool
	}{{0, true}, {500 * time.Millisecond, false}, {1400 * time.Millisecond, false}, {3 * time.Second, true}} {
		r := &request{}
		p.finish(r, &explain.Line{Offset: c.at})
		assert.Equal(t, r.firstOfBurst, c.firstOfBurst, "at %v", c.at)
	}
}

func TestMissingFileIsAnError(t *testing.T) {
	assert.ErrorContains(t, readFile(newLogs(), "testdata/none.log"), "none.log")
}

func TestOverlongLineIsAnError(t *testing.T) {
	err := newLogs().read("long", strings.NewReader(strings.Repeat("x", 2*maxLineBytes)))
	assert.ErrorContains(t, err, "too long")
}
