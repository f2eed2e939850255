package explain

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// explained returns what the command prints of a request, from one log of each entry.
func explained(t *testing.T, request string, logs ...string) string {
	t.Helper()
	args := []string{request}
	for i, lines := range logs {
		path := filepath.Join(t.TempDir(), fmt.Sprintf("edge-%d.log", i+1))
		assert.NilError(t, os.WriteFile(path, []byte(lines), 0o600))
		args = append(args, path)
	}
	cmd := Command()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs(args)
	assert.NilError(t, cmd.Execute())
	return out.String()
}

// TestQuarantinedRequestIsExplained explains a refusal whose reason another entry found long
// before.
func TestQuarantinedRequestIsExplained(t *testing.T) {
	for name, c := range map[string]struct{ found, foundOther, refused, reason, cause string }{
		"prompt part": {
			`"msg":"prompt part quarantined","event":653,"part":"c4a5ed01"`, `"msg":"prompt part quarantined","event":653,"part":"77"`,
			`"part":"c4a5ed01"`, "servers crash on a part of the prompt", "prompt part c4a5ed01",
		},
		"request": {
			`"msg":"request quarantined","event":658,"digest":"00000000c4a5ed01"`, `"msg":"request quarantined","event":658,"digest":"0000000000000077"`,
			`"digest":"00000000c4a5ed01"`, "servers crash on the request", "request digest 00000000c4a5ed01",
		},
	} {
		t.Run(name, func(t *testing.T) {
			out := explained(t, "r9", `{"time":"2026-01-24T17:20:00.000Z","msg":"process started","event":100,"node":"edge-1","run":"a","offset_ms":1}
{"time":"2026-01-24T17:20:40.000Z",`+c.found+`,"node":"edge-1","run":"a","offset_ms":40001,"source":"crashes","crashes":3,"requests":"r1,r2","remaining_ms":600000}
{"time":"2026-01-24T17:20:41.000Z",`+c.foundOther+`,"node":"edge-1","run":"a","offset_ms":41001,"source":"crashes","crashes":3,"requests":"r3,r4","remaining_ms":600000}
`, `{"time":"2026-01-24T17:20:00.000Z","msg":"process started","event":100,"node":"edge-2","run":"b","offset_ms":1}
{"time":"2026-01-24T17:25:00.000Z","msg":"request refused","event":605,"node":"edge-2","run":"b","offset_ms":300001,"request":"r9","reason":"`+c.reason+`",`+c.refused+`,"status":503,"retry_after_ms":340000}
`)
			assert.Assert(t, cmp.Contains(out, "Refused with status 503 before it ran: "+c.reason+" ("+c.cause+")."))
			assert.Assert(t, cmp.Contains(out, "edge-1 found that servers crash on "+c.cause+", by 3 crashes that lost the requests r1,r2."))
			assert.Assert(t, !strings.Contains(out, "r3,r4"))
		})
	}
}
