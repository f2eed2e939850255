package explain

import (
	"bytes"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestRecordedRequests explains requests of a recorded day. The logs in
// testdata are what four entries wrote about these requests and the changes
// around them, and a part of what one of them wrote about others meanwhile.
// Run with -update to write the expected stories anew.
func TestRecordedRequests(t *testing.T) {
	files, err := filepath.Glob("testdata/*.log")
	assert.NilError(t, err)
	for name, id := range map[string]string{
		"refused for want of a model": "97c93b9f7cc96ca4",
		"lost with its server":        "d4a32843a5ecedb6",
		"late under a burst":          "815eb43b1ecff273",
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

func TestCommandNeedsAnID(t *testing.T) {
	cmd := Command()
	cmd.SetArgs([]string{})
	cmd.SetErr(&bytes.Buffer{})
	cmd.SetOut(&bytes.Buffer{})
	assert.ErrorContains(t, cmd.Execute(), "the id of a request is required")
}
