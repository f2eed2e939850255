package cluster

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func sleeper(t *testing.T) *Process {
	p := &Process{Name: "sleeper", Path: "/bin/sh", Args: []string{"-c", "echo started >&2; exec sleep 600"}}
	assert.NilError(t, p.Start())
	t.Cleanup(func() { assert.NilError(t, p.Kill()) })
	Eventually(t, func() error { return wants(p, "started") })
	return p
}

func wants(p *Process, text string) error {
	if strings.Contains(p.Stderr(), text) {
		return nil
	}
	return assertErr("not written yet: " + text)
}

type assertErr string

func (e assertErr) Error() string { return string(e) }

func TestProcessIsKilledAndStartedAgain(t *testing.T) {
	p := sleeper(t)
	first := p.PID()
	assert.ErrorContains(t, p.Start(), "runs already")
	assert.NilError(t, p.Restart())
	assert.Assert(t, p.PID() != first)
	assert.NilError(t, p.Kill())
	assert.Assert(t, !p.Running())
	assert.ErrorContains(t, p.Freeze(), "does not run")
}

func TestFrozenProcessCanBeResumedAndStopped(t *testing.T) {
	p := sleeper(t)
	assert.NilError(t, p.Freeze())
	assert.NilError(t, p.Resume())
	assert.NilError(t, p.Stop())
	assert.Equal(t, p.ExitCode(), -1)
}

func TestExitCodeOfProgramThatEnds(t *testing.T) {
	p := &Process{Name: "false", Path: "/bin/sh", Args: []string{"-c", "exit 2"}}
	code, err := p.Run()
	assert.NilError(t, err)
	assert.Equal(t, code, 2)
}

func TestTailKeepsTheEnd(t *testing.T) {
	var out tail
	_, _ = out.Write([]byte("lost" + strings.Repeat("x", tailBytes)))
	_, _ = out.Write([]byte("end"))
	assert.Equal(t, len(out.String()), tailBytes)
	assert.Assert(t, strings.HasSuffix(out.String(), "xend"))
}

func TestWaitingEndsWithTheProcess(t *testing.T) {
	p := &Process{Name: "failing", Path: "/bin/sh", Args: []string{"-c", "echo no address >&2; exit 1"}}
	assert.NilError(t, p.Start())
	err := awaitReady(p, func() error { return assertErr("not ready") })
	assert.ErrorContains(t, err, "failing ended with code 1")
	assert.ErrorContains(t, err, "no address")
}
