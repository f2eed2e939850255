package main

import (
	"net/http"
	"time"

	"peridotchute.example/platform/platformtest"
)

func init() { cases["crashing-request"] = runCrashingRequest }

const (
	crashPath    = safePrefix + "crash"
	crashAfter   = 5 * time.Millisecond
	crashDown    = 2 * time.Second // the servers are back after some seconds
	crashPause   = 2500 * time.Millisecond
	crashRepeats = 16
	stableWindow = 4 * time.Second

	maxLateRetries = 3 // that reach servers later than stableWindow after the third crash
)

// runCrashingRequest has a client repeat a request on which each server crashes that begins to
// run it. The service gets no other request.
func runCrashingRequest(r *run) bool {
	d := r.deploy(3, 0)
	entries := r.startEntries(d, "edge-1", "edge-2")
	time.Sleep(2 * time.Second)
	var crasher *platformtest.Crasher
	if r.trouble {
		crasher = platformtest.NewRequestCrasher(tb{r: r}, d.store, crashPath, crashAfter, crashDown)
		for _, p := range d.plain {
			crasher.Attach(p.Worker)
		}
	}
	for i := range crashRepeats {
		id := newID()
		a := send(entries[i%len(entries)], http.MethodGet, crashPath, id, "1800", "")
		r.note("request %s to %s: %v", id, entries[i%len(entries)].name, a)
		time.Sleep(crashPause)
	}
	var arrivals []platformtest.Request
	for _, p := range d.plain {
		arrivals = append(arrivals, p.Requests()...)
	}
	if crasher == nil {
		r.note("%d requests have reached servers", len(arrivals))
		return false
	}
	crashes := crasher.Crashes()
	r.note("the servers have crashed %d times", len(crashes))
	if len(crashes) < 3 {
		return false
	}
	late := 0
	for _, q := range arrivals {
		after := q.Arrived.Sub(crashes[2])
		r.note("request %s has reached a server %.3f s after the third crash, ran: %v", q.ID, after.Seconds(), q.Executed)
		if after > stableWindow {
			late++
		}
	}
	r.note("%d arrivals later than %v after the third crash, %d allowed", late, stableWindow, maxLateRetries)
	return late > maxLateRetries
}
