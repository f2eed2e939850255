// The program starts the entries of a small deployment as separate processes, with stand-ins
// of the platform's store, the backend servers and the clients, and plays one case of the
// review. It exits with 1 if the rule was broken, 0 if it held and 2 if the case did not run.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"
)

// deployment is what every case starts from.
type deployment struct {
	rec      *record
	store    *store
	entries  []*entry
	rotation *rotation
	trouble  bool
	ctx      context.Context
}

// outcome says whether the rule was broken. err is set if the case could not run.
type outcome struct {
	broken bool
	err    error
}

// cases are the cases by name. The file of each adds it.
var cases = map[string]func(*deployment) outcome{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	temporary, err := os.MkdirTemp("", "review")
	if err != nil {
		rec.say("not run: %v", err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(temporary) }()
	} else {
		rec.say("logs in %s", temporary)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{rec: rec, trouble: os.Getenv("TROUBLE") != "0", ctx: ctx}
	defer d.end()
	if d.store, err = startStore(rec); err != nil {
		rec.say("not run: %v", err)
		return 2
	}
	if d.entries, err = newEntries(rec, temporary, d.store.address, 3); err != nil {
		rec.say("not run: %v", err)
		return 2
	}
	out := cases[name](d)
	switch {
	case out.err != nil:
		rec.say("not run: %v", out.err)
		return 2
	case out.broken:
		rec.say("the rule is broken")
		return 1
	}
	rec.say("the rule holds")
	return 0
}

// end ends all processes.
func (d *deployment) end() {
	for _, e := range d.entries {
		e.signal(syscall.SIGKILL)
		e.awaitEnd()
	}
}

// startEntries starts all entries and waits until they are ready.
func (d *deployment) startEntries() error {
	for _, e := range d.entries {
		if err := e.start(); err != nil {
			return err
		}
	}
	for _, e := range d.entries {
		if !waitFor(15*time.Second, e.ready) {
			return fmt.Errorf("%s does not become ready", e.name)
		}
	}
	d.rotation = newRotation(d.ctx, slices.Clone(d.entries))
	time.Sleep(2 * time.Second) // until the entries know each other
	return nil
}

// waitFor polls a condition and reports whether it was met in time.
func waitFor(timeout time.Duration, met func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if met() {
			return true
		}
	}
	return false
}
