package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["unread"] = playUnread }

// dialSmall opens a connection with small windows.
func dialSmall(address string) (net.Conn, error) {
	const window, segment = 4096, 536
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
		})
	}}
	return d.Dial("tcp", address)
}

// chat is an ordinary request for a stream.
func chat() request {
	return request{
		id: newID(), method: http.MethodPost, path: chatPath + "2f", body: "which fly", deadline: 15 * time.Second,
		header: headerLine("model", model) + headerLine("tokens", "826,292"),
	}
}

// playUnread has a crowd send requests ahead on its connections without reading the answers.
func playUnread(p *play) int {
	const (
		memoryMB = 284
		crowd    = 520 // at each entry
		step     = 20  // of these are opened at a time
		stepTime = 500 * time.Millisecond
		ahead    = 200              // requests on each connection, some of which are refused
		asked    = 20               // ordinary requests in each round
		settle   = 75 * time.Second // at most
		still    = 16 * time.Second // longer than the deadline of the crowd's requests
	)
	d := p.startDeployment(2, memoryMB)
	d.startEngines(p.log, 2, 73, 50*time.Millisecond)
	if !p.startEntries() {
		return couldNot
	}
	ask := func(phase string) int {
		var n atomic.Int64
		var wait sync.WaitGroup
		for i := range asked {
			wait.Go(func() {
				e := p.entries[i%len(p.entries)]
				c := &client{address: e.caller}
				defer c.close()
				q := chat()
				a := c.send(q)
				p.log.printf("%s: stream %s at %s: status %d, %d bytes, error %v", phase, q.id, e.name, a.status, len(a.body), a.err)
				if a.status == http.StatusOK && a.err == nil && strings.Count(a.body, "id: ") == d.engines[0].events {
					n.Add(1)
				}
			})
		}
		wait.Wait()
		return int(n.Load())
	}
	if n := ask("before"); n < asked {
		p.log.printf("only %d of %d streams were served before", n, asked)
		return couldNot
	}
	for i := 0; p.trouble && i < crowd; i++ {
		for _, e := range p.entries {
			conn, err := dialSmall(e.caller)
			if err != nil {
				continue // refused, which is allowed
			}
			defer func() { _ = conn.Close() }()
			go sendAhead(conn, ahead)
		}
		if i%step == step-1 {
			time.Sleep(stepTime)
		}
	}
	p.waitUntilStill(d.engines, still, settle)
	p.log.printf("the model workers have %d free slots of %d; the entries are ready: %v %v", freeSlots(d.engines), slots(d.engines), p.entries[0].isReady(), p.entries[1].isReady())
	plain := p.startCallers(8)
	n := ask("with the crowd")
	results := plain.end()
	all := n + served(results)
	p.log.printf("%d of %d ordinary streams served, and %d of %d requests of another kind", n, asked, served(results), len(results))
	if all == 0 || 4*n*(asked+len(results)) < all*asked {
		return broken
	}
	return held
}

// sendAhead sends n requests on a connection, as far as it takes them.
func sendAhead(conn net.Conn, n int) {
	for range n {
		q := chat()
		if _, err := io.WriteString(conn, q.head()+q.body); err != nil {
			return
		}
	}
}

// waitUntilStill waits until no request has begun at the workers for some time, or for the limit.
func (p *play) waitUntilStill(workers []*worker, still, limit time.Duration) {
	runs, changed := 0, time.Now()
	for end := time.Now().Add(limit); time.Now().Before(end) && time.Since(changed) < still; time.Sleep(100 * time.Millisecond) {
		if n := len(runsOf(workers)); n != runs {
			runs, changed = n, time.Now()
		}
	}
	p.log.printf("%d streams have run; no other has begun for %.1f s", runs, time.Since(changed).Seconds())
}
