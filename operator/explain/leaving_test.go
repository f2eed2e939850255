package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// TestRefusalForLeavingServersIsExplained explains a refusal after the only server of the
// request's service has said that it leaves.
func TestRefusalForLeavingServersIsExplained(t *testing.T) {
	out := explained(t, "r9", `{"time":"2026-01-24T17:20:00.000Z","msg":"process started","event":100,"node":"edge-1","run":"a","offset_ms":1}
{"time":"2026-01-24T17:20:40.000Z","msg":"server draining","event":643,"node":"edge-1","run":"a","offset_ms":40001,"server":"i-1","service":"till","view_age_ms":3,"reason":"told by edge-2"}
{"time":"2026-01-24T17:20:40.100Z","msg":"server draining","event":643,"node":"edge-1","run":"a","offset_ms":40101,"server":"i-2","service":"llm","view_age_ms":3}
{"time":"2026-01-24T17:20:43.000Z","msg":"request refused","event":605,"node":"edge-1","run":"a","offset_ms":43001,"request":"r9","service":"till","reason":"cannot be answered in time","status":503,"retry_after_ms":340}
`)
	assert.Assert(t, cmp.Contains(out, "server draining i-1, logged by edge-1: told by edge-2."))
	assert.Assert(t, !strings.Contains(out, "i-2"))
}

// TestRefusalForUnknownVersionIsExplained explains why a stream that its client resumes is
// refused: an entry that was cut off cannot rule out that another version began it.
func TestRefusalForUnknownVersionIsExplained(t *testing.T) {
	out := explained(t, "r9", `{"time":"2026-01-24T17:20:00.000Z","msg":"process started","event":100,"node":"edge-1","run":"a","offset_ms":1}
{"time":"2026-01-24T17:20:43.000Z","msg":"stream resumed by its client","event":613,"node":"edge-1","run":"a","offset_ms":43000,"request":"r9","resumes":"r1","last_event":"7"}
{"time":"2026-01-24T17:20:43.001Z","msg":"stream's version sought","event":614,"node":"edge-1","run":"a","offset_ms":43001,"request":"r9","origin":"unknown","versions":"v1","unanswered":2,"servers_age_ms":4100}
{"time":"2026-01-24T17:20:43.002Z","msg":"request refused","event":605,"node":"edge-1","run":"a","offset_ms":43002,"request":"r9","service":"llm","reason":"the software version that began the stream is not known","status":503,"retry_after_ms":400}
`)
	assert.Assert(t, cmp.Contains(out, "The software version that began the stream was unknown; in use lately: v1; the list of servers was 4.1s old."))
}
