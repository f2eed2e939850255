package main

import (
	"net/http"
	"sync"
	"time"

	"peridotchute.example/platform/platformtest"
)

func init() { cases["busy-server"] = runBusyServer }

const (
	busyFor        = 5 * time.Second // the Retry-After of the server
	busyGrace      = 500 * time.Millisecond
	maxBusyReach   = 2 // requests from half a second after the answer to the end of its time
	requestPause   = 50 * time.Millisecond
	busyDuration   = 8 * time.Second
	declinedStatus = http.StatusServiceUnavailable
)

// runBusyServer has all servers of a service turn requests away with 503 and Retry-After.
func runBusyServer(r *run) bool {
	d := r.deploy(3, 0)
	e := r.startEntries(d, "edge-1")[0]
	time.Sleep(time.Second)
	var mu sync.Mutex
	told := map[*platformtest.Plain]time.Time{} // when it first turned a request away
	if r.trouble {
		for _, p := range d.plain {
			p.FollowScript(func(q platformtest.Request, _ int) *platformtest.RawAnswer {
				mu.Lock()
				defer mu.Unlock()
				if told[p].IsZero() {
					told[p] = time.Now()
				}
				return &platformtest.RawAnswer{Bytes: platformtest.RawResponse(declinedStatus, "", platformtest.IDLine(q.ID), platformtest.NotExecutedLine, "Retry-After: 5")}
			})
		}
	}
	statuses := map[int]int{}
	for began := time.Now(); time.Since(began) < busyDuration; time.Sleep(requestPause) {
		statuses[send(e, http.MethodGet, safePrefix+"x", newID(), "800", "").status]++
	}
	r.note("answers by status: %v", statuses)
	mu.Lock()
	defer mu.Unlock()
	broken := false
	for _, p := range d.plain {
		first := told[p]
		if first.IsZero() {
			r.note("server %s has turned no request away", p.ID())
			continue
		}
		reached := 0
		for _, q := range p.Requests() {
			after := q.Arrived.Sub(first)
			if after > busyGrace && after < busyFor {
				r.note("request %s has reached server %s %.3f s after its first answer", q.ID, p.ID(), after.Seconds())
				reached++
			}
		}
		r.note("server %s: %d requests from %v after the answer to the end of its time, %d allowed", p.ID(), reached, busyGrace, maxBusyReach)
		broken = broken || reached > maxBusyReach
	}
	return broken
}
