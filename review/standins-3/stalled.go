package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["stalled-bodies"] = runStalledBodies }

const (
	crowd       = 1500 // clients at each entry, of 4,100 descriptors
	crowdRounds = 3
	crowdHead   = 15 << 10 // bytes; the configuration allows 16 KiB
	openers     = 16       // clients that connect at a time

	killInterval = 20 * time.Millisecond // between looks at the memory of a process
	settleTime   = 6 * time.Second       // after which a process that has not ended is left alone

	// A day is lost if on two machines processes end by themselves three times.
	faultMachines = 2
	faultEnds     = 3
)

// platform ends processes that take more memory than their machine has, and starts them again.
type platform struct {
	r    *run
	mu   sync.Mutex
	ends map[string]int // by entry
	most map[string]float64
}

// watch checks an entry until done is closed.
func (p *platform) watch(e *entry, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(killInterval):
		}
		now, most := e.memory()
		p.mu.Lock()
		p.most[e.name] = max(p.most[e.name], most)
		p.mu.Unlock()
		if e.running() && now <= memoryMB {
			continue
		}
		p.r.note("%s has %.0f MB of %d: it is killed and started again", e.name, now, memoryMB)
		e.kill()
		p.mu.Lock()
		p.ends[e.name]++
		p.mu.Unlock()
		e.start()
	}
}

func (p *platform) endsOf(e *entry) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends[e.name]
}

// runStalledBodies has a crowd send requests of legal size, with very many short fields, and stop
// one byte before the end of their bodies.
func runStalledBodies(r *run) bool {
	d := r.deploy(3, 0)
	entries := r.startEntries(d, "edge-1", "edge-2")
	time.Sleep(time.Second)
	p := &platform{r: r, ends: map[string]int{}, most: map[string]float64{}}
	done := make(chan struct{})
	var watching sync.WaitGroup
	for _, e := range entries {
		watching.Go(func() { p.watch(e, done) })
	}
	for round := range crowdRounds {
		for _, e := range entries {
			r.note("round %d: %d clients at %s", round+1, crowd, e.name)
			p.round(e)
			status := send(e, http.MethodGet, safePrefix+"x", newID(), "800", "").status
			r.note("an ordinary request to %s afterwards: %d", e.name, status)
		}
	}
	close(done)
	watching.Wait()
	machines := 0
	for _, e := range entries {
		r.note("%s: %.0f MB at most, ended %d times", e.name, p.most[e.name], p.ends[e.name])
		if p.ends[e.name] >= faultEnds {
			machines++
		}
	}
	return machines >= faultMachines
}

// round has the crowd come to an entry, and leave once the entry has ended or the memory has
// settled.
func (p *platform) round(e *entry) {
	before := p.endsOf(e)
	if !p.r.trouble {
		p.ordinaryCrowd(e)
		return
	}
	conns := p.stalledCrowd(e, before)
	for began := time.Now(); time.Since(began) < settleTime && p.endsOf(e) == before; {
		time.Sleep(50 * time.Millisecond)
	}
	for _, c := range conns {
		_ = c.Close()
	}
	time.Sleep(time.Second)
}

// stalledCrowd opens the connections until the entry has ended.
func (p *platform) stalledCrowd(e *entry, before int) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	next := make(chan struct{}, crowd)
	for range crowd {
		next <- struct{}{}
	}
	close(next)
	var opening sync.WaitGroup
	for range openers {
		opening.Go(func() {
			for range next {
				if p.endsOf(e) != before {
					return
				}
				c, err := net.DialTimeout("tcp", e.address, time.Second)
				if err != nil {
					continue // refused, which is allowed
				}
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
				_ = c.SetWriteDeadline(time.Now().Add(2 * time.Second))
				_, _ = c.Write(stalledRequest()) // the entry may close the connection
			}
		})
	}
	opening.Wait()
	p.r.note("%d connections were opened to %s", len(conns), e.name)
	return conns
}

// stalledRequest returns a request within all limits, but for the last byte of its body.
func stalledRequest() []byte {
	const body = "0123456789"
	var b strings.Builder
	fmt.Fprintf(&b, "POST %sx HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", unsafePrefix, host, len(body))
	fmt.Fprintf(&b, "X-Peridotchute-Attempt-Id: %s\r\nX-Peridotchute-Deadline-Ms: 2000\r\n", newID())
	const separators = 4 // colon, space, carriage return, line feed of a field, as limits may count them
	counted := b.Len() + 100
	for i := 0; ; i++ {
		name := fmt.Sprintf("%x", 0xa00+i)
		if counted += len(name) + separators; counted > crowdHead {
			break
		}
		b.WriteString(name + ":\r\n")
	}
	b.WriteString("\r\n" + body[:len(body)-1])
	return []byte(b.String())
}

// ordinaryCrowd sends as many whole requests.
func (p *platform) ordinaryCrowd(e *entry) {
	statuses := map[int]int{}
	var mu sync.Mutex
	var sending sync.WaitGroup
	for range openers {
		sending.Go(func() {
			for range crowd / openers {
				a := send(e, http.MethodPost, unsafePrefix+"x", newID(), "2000", "0123456789")
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	p.r.note("answers of %s by status: %v", e.name, statuses)
}
