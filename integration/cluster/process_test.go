package cluster

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func startSleeper(t *testing.T) *Process {
	p := &Process{Name: "sleeper", Path: "/bin/sh", Args: []string{"-c", "echo started >&2; exec sleep 600"}}
	assert.NilError(t, p.Start())
	t.Cleanup(func() { assert.NilError(t, p.Kill()) })
	Eventually(t, func() error { return outputContains(p, "started") })
	return p
}

func outputContains(p *Process, text string) error {
	if strings.Contains(p.Stderr(), text) {
		return nil
	}
	return textError("not written yet: " + text)
}

type textError string

func (e textError) Error() string { return string(e) }

func TestProcessKillAndRestart(t *testing.T) {
	p := startSleeper(t)
	first := p.PID()
	assert.ErrorContains(t, p.Start(), "is already running")
	assert.NilError(t, p.Restart())
	assert.Assert(t, p.PID() != first)
	assert.NilError(t, p.Kill())
	assert.Assert(t, !p.Running())
	assert.ErrorContains(t, p.Freeze(), "is not running")
}

func TestFrozenProcessResumesAndStops(t *testing.T) {
	p := startSleeper(t)
	assert.NilError(t, p.Freeze())
	assert.NilError(t, p.Resume())
	assert.NilError(t, p.Stop())
	assert.Equal(t, p.ExitCode(), -1)
}

func TestRunReturnsExitCode(t *testing.T) {
	p := &Process{Name: "false", Path: "/bin/sh", Args: []string{"-c", "exit 2"}}
	code, err := p.Run()
	assert.NilError(t, err)
	assert.Equal(t, code, 2)
}

func TestTailBufferKeepsLastBytes(t *testing.T) {
	var out tailBuffer
	_, _ = out.Write([]byte("lost" + strings.Repeat("x", tailBytes)))
	_, _ = out.Write([]byte("end"))
	assert.Equal(t, len(out.String()), tailBytes)
	assert.Assert(t, strings.HasSuffix(out.String(), "xend"))
}

func TestAwaitReadyFailsWhenProcessExits(t *testing.T) {
	p := &Process{Name: "failing", Path: "/bin/sh", Args: []string{"-c", "echo no address >&2; exit 1"}}
	assert.NilError(t, p.Start())
	err := awaitReady(p, func() error { return textError("not ready") })
	assert.ErrorContains(t, err, "failing exited with code 1")
	assert.ErrorContains(t, err, "no address")
}
