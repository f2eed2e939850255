package integration

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOnlyListedFailuresArePassedOver gives .ci/known-red the output of several test runs.
func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	const list = "# Failures.\n\nTestA (since then)\n  command: go test\n\nTestB/case_1\n  command: go test\n"
	for name, c := range map[string]struct {
		output string
		passed bool
	}{
		"listed test":          {"--- FAIL: TestA (0.00s)\n    --- FAIL: TestA/x (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\nok  \tp/b\t0.1s\n", true},
		"listed subtest":       {"--- FAIL: TestB (0.00s)\n    --- FAIL: TestB/case_1 (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\n", true},
		"other subtest":        {"--- FAIL: TestB (0.00s)\n    --- FAIL: TestB/case_2 (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\n", false},
		"parent itself":        {"--- FAIL: TestB (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\n", false},
		"longer name":          {"--- FAIL: TestAB (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\n", false},
		"one of two":           {"--- FAIL: TestA (0.00s)\n--- FAIL: TestC (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\n", false},
		"build":                {"--- FAIL: TestA (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\nFAIL\tp/b [build failed]\n", false},
		"panic":                {"--- FAIL: TestA (0.00s)\npanic: nil\nFAIL\tp/a\t0.1s\n", false},
		"package without test": {"--- FAIL: TestA (0.00s)\nFAIL\nFAIL\tp/a\t0.1s\nFAIL\tp/b\t0.1s\n", false},
		"nothing failed":       {"ok  \tp/a\t0.1s\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			listFile, outputFile := filepath.Join(dir, "list"), filepath.Join(dir, "output")
			assert.NilError(t, os.WriteFile(listFile, []byte(list), 0o600))
			assert.NilError(t, os.WriteFile(outputFile, []byte(c.output), 0o600))
			printed, err := exec.Command("../.ci/known-red", listFile, outputFile).CombinedOutput()
			assert.Equal(t, err == nil, c.passed, "%s", printed)
		})
	}
}
