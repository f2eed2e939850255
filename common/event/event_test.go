package event

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCatalogueMatchesDocs fails when docs/EVENTS.md and the code differ.
// UPDATE_EVENTS=1 regenerates the page.
func TestCatalogueMatchesDocs(t *testing.T) {
	const page = "../../docs/EVENTS.md"
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries `event`, the number below, and where it applies `peer`, `request`, `subject`, `reason`, `count` and `error`.\n\n")
	b.WriteString("| number | level | event | meaning and remedy |\n|---|---|---|---|\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Name, e.Help)
	}
	if os.Getenv("UPDATE_EVENTS") != "" {
		assert.NilError(t, os.WriteFile(page, []byte(b.String()), 0o644))
	}
	got, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(got), b.String())
}
