package main

import (
	"sync"
	"time"
)

const (
	retryPause = 900 * time.Millisecond // of clients without Retry-After
	awayTime   = time.Second            // how long the store is away in a drill
)

func (d *deployment) startModelWorkers(versions ...string) ([]*worker, error) {
	var out []*worker
	for _, v := range versions {
		w, err := startWorker(d.rec, d.store, "llm", v, "m1")
		if err != nil {
			return nil, err
		}
		out = append(out, w)
	}
	return out, nil
}

// startStreams begins n streams of which the clients give the first request to the entries
// that of names. It waits for none.
func (d *deployment) startStreams(n, events, retries int, deadline time.Duration, of func(i int) *entry) ([]*stream, *sync.WaitGroup) {
	var all []*stream
	clients := &sync.WaitGroup{}
	for i := range n {
		s := &stream{
			rec: d.rec, rotation: d.rotation, model: "m1", events: events,
			deadline: time.Now().Add(deadline), retries: retries, pause: retryPause, first: of(i),
		}
		all = append(all, s)
		clients.Go(s.run)
	}
	return all, clients
}

// restartInTurn sends SIGTERM to one entry after the other, with a gap between, and starts each again
// when it has ended.
func (d *deployment) restartInTurn(gap time.Duration) *sync.WaitGroup {
	restarts := &sync.WaitGroup{}
	for i, e := range d.entries {
		restarts.Go(func() {
			time.Sleep(time.Duration(i) * gap)
			d.restart(e)
		})
	}
	return restarts
}

// restart stops an entry as the platform does, and starts it again.
func (d *deployment) restart(e *entry) {
	e.stop()
	time.Sleep(300 * time.Millisecond)
	if err := e.start(); err != nil {
		d.rec.say("%s: %v", e.name, err)
	}
}
