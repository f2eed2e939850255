// Command standins-2 plays the cases of the second review: it runs stand-ins of the platform, of
// workers and of clients in its own process, and entries of the system as processes of their own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

var cases = map[string]func(*play) int{}

// play is one run of a case.
type play struct {
	log     *record
	folder  string // temporary
	trouble bool
	only    string // the one disruption to play, of a case that has two; empty for all
	entries []*entry
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(couldNot)
	}
	folder, err := os.MkdirTemp("", "review-")
	check(err)
	out, err := os.Create(os.Args[2] + "/record.txt")
	check(err)
	p := &play{log: &record{out: out, began: time.Now()}, folder: folder, trouble: os.Getenv("TROUBLE") != "0", only: os.Getenv("ONLY")}
	result := couldNot
	done := make(chan struct{})
	go func() {
		defer close(done)
		result = cases[os.Args[1]](p)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-done:
	case s := <-signals:
		p.log.printf("stopped by %v", s)
		result = couldNot
	case <-time.After(110 * time.Second):
		p.log.printf("the case took too long")
		result = couldNot
	}
	stopAll(p.entries)
	p.log.printf("result %d", result)
	_ = out.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	os.Exit(result)
}

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time in the form of the record.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.began).Seconds()) }

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// waitFor waits until cond holds and reports whether it did within the time.
func waitFor(limit time.Duration, cond func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return true
		}
	}
	return cond()
}
