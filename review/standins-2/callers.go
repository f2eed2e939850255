package main

import (
	"net/http"
	"sync"
	"time"
)

// result is one ordinary request and its end, as its caller saw it.
type result struct {
	q           request
	a           answer
	sent, ended time.Time
}

// callers are ordinary clients that send unsafe requests on connections that they keep.
type callers struct {
	p    *play
	stop chan struct{}
	wait sync.WaitGroup

	mu      sync.Mutex
	results []result
}

const (
	callerDeadline = 800 * time.Millisecond
	callerPause    = 20 * time.Millisecond
	callerBody     = "one beat, one charge"
)

// startCallers starts n ordinary clients, in turn at each entry.
func (p *play) startCallers(n int) *callers {
	c := &callers{p: p, stop: make(chan struct{})}
	for i := range n {
		c.wait.Go(func() { c.call(p.entries[i%len(p.entries)]) })
	}
	return c
}

func (c *callers) call(e *entry) {
	conn := &client{address: e.caller}
	defer conn.close()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(callerPause):
		}
		q := request{id: newID(), method: http.MethodPost, path: bookPath + "2f", body: callerBody, deadline: callerDeadline}
		sent := time.Now()
		a := conn.send(q)
		c.p.log.printf("request %s to %s at %s: status %d, kept connection %v, error %v", q.id, e.name, c.p.log.at(sent), a.status, a.kept, a.err)
		c.mu.Lock()
		c.results = append(c.results, result{q, a, sent, time.Now()})
		c.mu.Unlock()
	}
}

// end stops the callers and returns what they have seen.
func (c *callers) end() []result {
	close(c.stop)
	c.wait.Wait()
	return c.results
}

// served returns the number of requests that were answered with success.
func served(results []result) int {
	n := 0
	for _, r := range results {
		if r.a.status == http.StatusOK && r.a.stamp != "" && r.a.body == string(answerBody(r.q.id, len(r.a.body))) {
			n++
		}
	}
	return n
}
