package integration

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"peridotchute.example/integration/cluster"
)

// TestInvalidSettingsExit runs each daemon with a settings file whose third line
// is invalid.
func TestInvalidSettingsExit(t *testing.T) {
	bin, err := cluster.Programs()
	assert.NilError(t, err)
	cases := []struct {
		program, line, field string
	}{
		{cluster.ProgramEntry, `"no_such_field": 1,`, "no_such_field"},
		{cluster.ProgramEntry, `"caller_address": "somewhere",`, "caller_address"},
		{cluster.ProgramEntry, `"zone": 7,`, "zone"},
		{cluster.ProgramSide, `"no_such_field": 1,`, "no_such_field"},
		{cluster.ProgramSide, `"data_address": "127.0.0.1",`, "data_address"},
		{cluster.ProgramStandIn, `"no_such_field": 1,`, "no_such_field"},
		{cluster.ProgramStandIn, `"table_address": "127.0.0.1:port",`, "table_address"},
	}
	for _, c := range cases {
		t.Run(c.program+" "+c.field, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "settings.json")
			text := "{\n  // one line is wrong\n  " + c.line + "\n}\n"
			assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
			p := &cluster.Process{Name: c.program, Path: filepath.Join(bin, c.program), Args: []string{"--settings", file}}
			code, err := p.Run()
			assert.NilError(t, err)
			assert.Equal(t, code, 2, p.Stderr())
			assert.Assert(t, strings.Contains(p.Stderr(), file+":3: "), p.Stderr())
			assert.Assert(t, strings.Contains(p.Stderr(), c.field), p.Stderr())
		})
	}
}

// TestMissingSettingReported runs a daemon with a settings file that lacks a
// required field.
func TestMissingSettingReported(t *testing.T) {
	bin, err := cluster.Programs()
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte("{\n  \"name\": \"entry-1\"\n}\n"), 0o600))
	p := &cluster.Process{Name: "entry", Path: filepath.Join(bin, cluster.ProgramEntry), Args: []string{"--settings", file}}
	code, err := p.Run()
	assert.NilError(t, err)
	assert.Equal(t, code, 2)
	assert.Assert(t, strings.Contains(p.Stderr(), `field "zone": missing`), p.Stderr())
}

// TestAddressInUseReported starts a daemon on an address that is already in use.
func TestAddressInUseReported(t *testing.T) {
	bin, err := cluster.Programs()
	assert.NilError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer ln.Close()
	address := ln.Addr().String()
	file := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"table_address": "`+address+`"}`), 0o600))
	p := &cluster.Process{Name: "standin", Path: filepath.Join(bin, cluster.ProgramStandIn), Args: []string{"--settings", file}}
	code, err := p.Run()
	assert.NilError(t, err)
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(p.Stderr(), address), p.Stderr())
}
