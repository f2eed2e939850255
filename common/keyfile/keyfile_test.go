package keyfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRead(t *testing.T) {
	tests := []struct {
		name, text, key string
		wantErr         string // part of the error
	}{
		{name: "first line", text: "  a-key-that-is-long-enough \nrest", key: "a-key-that-is-long-enough"},
		{name: "short", text: "hunter2\n", wantErr: "fewer than 16 characters"},
		{name: "empty", text: "", wantErr: "fewer than 16 characters"},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "key")
			assert.NilError(t, os.WriteFile(path, []byte(tc.text), 0o600))
			key, err := Read(path)
			if tc.wantErr != "" {
				assert.ErrorContains(t, err, tc.wantErr)
				assert.Assert(t, !strings.Contains(err.Error(), "hunter2"))
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, key, tc.key)
		})
	}
}
