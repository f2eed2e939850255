// Command cases runs the scripted cases of the third review. Each starts entries as separate
// processes on loopback addresses, with stand-ins for clients, backend servers and the store, and
// checks one rule by what these see.
//
//	cases NAME FOLDER
//
// It writes what was sent, answered and run to FOLDER/record.txt. It exits with 1 if the rule was
// broken, with 0 if it held and with 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime ends a case that hangs.
const maxTime = 115 * time.Second

// run is the state of a running case.
type run struct {
	trouble bool
	folder  string // for settings of processes
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	cleanups []func()
}

// cases are the cases by name; each file adds its own. They return whether the rule was broken.
var cases = map[string]func(*run) (broken bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) (code int) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temporary, err := os.MkdirTemp("", "case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: temporary, began: time.Now(), record: record}
	r.Cleanup(func() { _ = os.RemoveAll(temporary) })
	time.AfterFunc(maxTime, func() {
		r.note("the case took too long")
		r.clean()
		os.Exit(exitNotRun)
	})
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		r.note("the case was stopped")
		r.clean()
		os.Exit(exitNotRun)
	}()
	defer func() {
		if p := recover(); p != nil {
			r.note("the case could not run: %v", p)
			if _, expected := p.(failure); !expected {
				r.note("%s", debug.Stack())
			}
			code = exitNotRun
		}
		r.clean()
	}()
	r.note("case %s, disruption %v", name, r.trouble)
	if cases[name](r) {
		r.note("result: the rule was broken")
		return exitBroken
	}
	r.note("result: the rule held")
	return exitHeld
}

// failure ends a case that cannot run.
type failure string

func (r *run) fail(format string, args ...any) { panic(failure(fmt.Sprintf(format, args...))) }

// note writes a line to the record and to standard output.
func (r *run) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.began).Seconds(), strings.TrimRight(fmt.Sprintf(format, args...), "\n"))
	_, _ = r.record.WriteString(line)
	fmt.Print(line)
}

// Cleanup registers a function that is called at the end, the last one first.
func (r *run) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

func (r *run) clean() {
	r.mu.Lock()
	cleanups := slices.Clone(r.cleanups)
	r.cleanups = nil
	r.mu.Unlock()
	for _, f := range slices.Backward(cleanups) {
		f()
	}
}

// waitFor polls until the condition is met.
func (r *run) waitFor(what string, limit time.Duration, met func() bool) {
	for began := time.Now(); !met(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > limit {
			r.fail("timed out waiting until %s", what)
		}
	}
}

// tb lets the project's stand-ins run outside a test.
type tb struct {
	testing.TB
	r *run
}

func (t tb) Helper()                           {}
func (t tb) Cleanup(f func())                  { t.r.Cleanup(f) }
func (t tb) Logf(format string, args ...any)   { t.r.note(format, args...) }
func (t tb) Errorf(format string, args ...any) { t.r.note(format, args...) }
func (t tb) Fatalf(format string, args ...any) { t.r.fail(format, args...) }
func (t tb) Fatal(args ...any)                 { t.r.fail("%s", fmt.Sprint(args...)) }
