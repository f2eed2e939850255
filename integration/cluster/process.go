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

// stopTimeout limits the wait for a process to exit.
const stopTimeout = 30 * time.Second

// Process is a program that the harness runs. Its methods signal it by process
// ID and are safe for concurrent use.
type Process struct {
	Name string // name of its VM
	Path string // executable
	Args []string
	Env  []string // added to the environment of the harness

	Output io.Writer // receives the full output of all runs, if not nil

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when the current run has exited
	stderr tailBuffer
}

// Start starts the program. It fails if an earlier run has not exited.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !isClosed(p.exited) {
		return fmt.Errorf("%s is already running with process ID %d", p.Name, p.cmd.Process.Pid)
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

// PID returns the process ID of the current or last run, 0 before the first.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Running reports whether the process has been started and has not exited.
func (p *Process) Running() bool {
	exited := p.Exited()
	return exited != nil && !isClosed(exited)
}

// Exited returns a channel that is closed when the current run exits, or nil
// before the first run.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// ExitCode returns the exit code of the last run, or -1 if it is still running,
// was ended by a signal or never started.
func (p *Process) ExitCode() int {
	if p.Running() || p.Exited() == nil {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.ProcessState.ExitCode()
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Process) Kill() error { return p.end(syscall.SIGKILL) }

// Stop sends SIGTERM for a graceful shutdown and waits for the process to exit.
func (p *Process) Stop() error { return p.end(syscall.SIGTERM) }

// Terminate sends SIGTERM without waiting.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a frozen process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Restart kills the process and starts the same program again.
func (p *Process) Restart() error {
	if err := p.Kill(); err != nil {
		return err
	}
	return p.Start()
}

// Stderr returns the last part of the combined output of all runs.
func (p *Process) Stderr() string { return p.stderr.String() }

func (p *Process) signal(sig syscall.Signal) error {
	if !p.Running() {
		return fmt.Errorf("%s is not running", p.Name)
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
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not exit within %v of %v", p.Name, stopTimeout, sig)
	}
}

// Run starts the program, waits for it to exit and returns its exit code. It is
// meant for commands that exit by themselves.
func (p *Process) Run() (int, error) {
	if err := p.Start(); err != nil {
		return -1, err
	}
	select {
	case <-p.Exited():
		return p.ExitCode(), nil
	case <-time.After(stopTimeout):
		return -1, errors.Join(fmt.Errorf("%s is still running after %v", filepath.Base(p.Path), stopTimeout), p.Kill())
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
