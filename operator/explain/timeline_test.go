package explain

import (
	"bytes"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestRecordedRequests explains recorded requests. The logs in testdata contain
// the lines of four entries about these requests and the changes around them, and
// some lines of one entry about other requests. Run with -update to regenerate the
// golden files.
func TestRecordedRequests(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	assert.NilError(t, err)
	for name, id := range map[string]string{
		"refused because no server has the model": "97c93b9f7cc96ca4",
		"lost when its server stopped":            "d4a32843a5ecedb6",
		"late during a burst":                     "815eb43b1ecff273",
	} {
		t.Run(name, func(t *testing.T) {
			cmd := Command()
			var out bytes.Buffer
			cmd.SetOut(&out)
			cmd.SetArgs(append([]string{id}, files...))
			assert.NilError(t, cmd.Execute())
			golden.Assert(t, out.String(), id+".golden")
		})
	}
}

func TestCommandRequiresID(t *testing.T) {
	cmd := Command()
	cmd.SetArgs([]string{})
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetOut(&bytes.Buffer{})
	assert.ErrorContains(t, cmd.Execute(), "the id of a request is required")
}
