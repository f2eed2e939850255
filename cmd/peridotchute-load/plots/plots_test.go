package plots

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/cmd/peridotchute-load/measure"
)

func TestChartIsAnSVGFile(t *testing.T) {
	dir := t.TempDir()
	chart := Chart{Title: "sample", X: "peers", Y: "MB", Series: []Series{{Name: "entry", Points: []measure.Point{{X: 1, Y: 2}, {X: 2, Y: 3}}}}}
	assert.NilError(t, chart.Write(dir, "sample"))
	raw, err := os.ReadFile(filepath.Join(dir, "sample.svg"))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(raw), "<svg"))
}
