package main

import (
	"errors"
	"os"
	"strconv"
	"strings"
	"time"
)

// anonymousMB returns the memory that a process has allocated and uses, without the pages of its
// program file, or 0 if it has ended.
func (e *entry) anonymousMB() float64 {
	running, _ := e.process()
	if running == nil {
		return 0
	}
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(running.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}

// watchMemory plays the platform's part until stop is closed: a process that exceeds the memory of
// its machine is killed, and started again after a short delay.
func (p *play) watchMemory(stop <-chan struct{}) (kills func() int) {
	n := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		peak := make([]float64, len(p.entries))
		for {
			select {
			case <-stop:
				for i, e := range p.entries {
					p.log.printf("%s took %.1f MB at most, of %d", e.name, peak[i], e.memoryMB)
				}
				return
			case <-time.After(10 * time.Millisecond):
			}
			for i, e := range p.entries {
				mb := e.anonymousMB()
				peak[i] = max(peak[i], mb)
				if mb <= float64(e.memoryMB) {
					continue
				}
				p.log.printf("%s takes %.1f MB of %d and is killed by the platform", e.name, mb, e.memoryMB)
				n++
				e.kill()
				time.Sleep(500 * time.Millisecond)
				e.start()
			}
		}
	}()
	return func() int { <-done; return n }
}

// lostRequests returns the requests that were passed on to a worker from a kept connection, which
// then ended without an answer.
func lostRequests(results []result, runs map[string]int) (out []result) {
	for _, r := range results {
		var timeout interface{ Timeout() bool }
		timedOut := errors.As(r.a.err, &timeout) && timeout.Timeout()
		if r.a.kept && r.a.err != nil && r.a.status == 0 && !timedOut && runs[r.q.id] > 0 {
			out = append(out, r)
		}
	}
	return out
}

// judgeLost ends a case on memory: LOST is broken by more than three lost requests.
func (p *play) judgeLost(c *callers, d *deployment, kills int) int {
	results := c.end()
	time.Sleep(200 * time.Millisecond) // for the runs that go on
	lost := lostRequests(results, runsOf(d.desk))
	for _, r := range lost {
		p.log.printf("lost: request %s, sent at %s on a kept connection, ran, and the connection ended at %s without an answer: %v", r.q.id, p.log.at(r.sent), p.log.at(r.ended), r.a.err)
	}
	p.log.printf("%d ordinary requests, %d served, %d lost; processes over their memory: %d", len(results), served(results), len(lost), kills)
	const allowed = 3
	switch {
	case len(lost) > allowed:
		return broken
	case served(results) == 0:
		return couldNot
	}
	return held
}
