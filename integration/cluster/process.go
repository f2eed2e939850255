package cluster

import (
	"errors"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopLimit bounds the wait for a process that was asked to end.
const stopLimit = 30 * time.Second

// Process is one daemon that the harness started. Its methods act on the
// process by its id and may be called from several goroutines.
type Process struct {
	Name string // of its VM
	Path string // executable
	Args []string
	Env  []string // added to the harness's own environment

	Output io.Writer // of all runs, in full; nil keeps the last part only

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the current run has ended
	stderr tail
}

// Start runs the program. It fails when an earlier run has not ended.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !isClosed(p.exited) {
		return fmt.Errorf("%s runs already with process id %d", p.Name, p.cmd.Process.Pid)
	}
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(cmd.Environ(), p.Env...)
	cmd.Stderr = p.output()
	cmd.Stdout = cmd.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit code is read from ProcessState
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
	return nil
}

func (p *Process) output() io.Writer {
	if p.Output == nil {
		return &p.stderr
	}
	return io.MultiWriter(&p.stderr, p.Output)
}

// Reload sends SIGHUP.
func (p *Process) Reload() error { return p.signal(syscall.SIGHUP) }

// PID returns the process id of the current or last run, 0 before the first.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	exited := p.Exited()
	return exited != nil && !isClosed(exited)
}

// Exited returns a channel that is closed when the current run ends, nil
// before the first run.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ExitCode returns the exit code of the last run, -1 while it runs or when a
// signal ended it.
func (p *Process) ExitCode() int {
	if p.Running() || p.Exited() == nil {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// Kill ends the process with SIGKILL and waits until it is gone.
func (p *Process) Kill() error { return p.end(syscall.SIGKILL) }

// Stop asks for a graceful shutdown with SIGTERM and waits for its end.
func (p *Process) Stop() error { return p.end(syscall.SIGTERM) }

// Terminate sends SIGTERM and returns at once.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Restart kills the process and runs the same program again.
func (p *Process) Restart() error {
	if err := p.Kill(); err != nil {
		return err
	}
	return p.Start()
}

// Stderr returns the last part of what the process wrote, over all runs.
func (p *Process) Stderr() string { return p.stderr.String() }

func (p *Process) signal(sig syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s does not run", p.Name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Signal(sig)
}

func (p *Process) end(sig syscall.Signal) error {
	if !p.Running() {
		return nil
	}
	if err := p.signal(sig); err != nil && p.Running() {
		return fmt.Errorf("signal %s: %w", p.Name, err)
	}
	select {
	case <-p.Exited():
		return nil
	case <-time.After(stopLimit):
		return fmt.Errorf("%s did not end within %v of %v", p.Name, stopLimit, sig)
	}
}

// Run starts the program and waits for its end, for commands that end by
// themselves. It returns the exit code.
func (p *Process) Run() (int, error) {
	if err := p.Start(); err != nil {
		return -1, err
	}
	select {
	case <-p.Exited():
		return p.ExitCode(), nil
	case <-time.After(stopLimit):
		return -1, errors.Join(fmt.Errorf("%s still runs after %v", filepath.Base(p.Path), stopLimit), p.Kill())
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
