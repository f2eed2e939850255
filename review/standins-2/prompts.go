package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["prompts"] = playPrompts }

// playPrompts has clients send streams whose prompts consist of parts of one token, no two alike.
func playPrompts(p *play) int {
	const (
		memoryMB = 144
		ordinary = 24
		crowd    = 96
		parts    = 8
		length   = 75 * time.Second
	)
	d := p.startDeployment(1, memoryMB)
	d.startEngines(p.log, 18, 1, time.Millisecond)
	if !p.startEntries() {
		return couldNot
	}
	stopWatch := make(chan struct{})
	kills := p.watchMemory(stopWatch)
	c := p.startCallers(ordinary)
	time.Sleep(2 * time.Second)
	ends := time.Now().Add(length)
	var wait sync.WaitGroup
	var part atomic.Int64
	var mu sync.Mutex
	statuses := map[int]int{}
	for range crowd {
		wait.Go(func() {
			conn := &client{address: p.entries[0].caller}
			defer conn.close()
			for p.trouble && time.Now().Before(ends) && p.entries[0].starts.Load() == 1 {
				var prefix []string
				for range parts {
					prefix = append(prefix, fmt.Sprintf("%x:1", part.Add(1)))
				}
				q := request{id: newID(), method: http.MethodPost, path: chatPath + "2f", deadline: 5 * time.Second}
				q.header = headerLine("model", model) + headerLine("tokens", "8,4") + headerLine("prompt", strings.Join(prefix, ","))
				a := conn.send(q)
				mu.Lock()
				statuses[a.status]++
				mu.Unlock()
				if a.err != nil {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	wait.Wait()
	p.log.printf("requests of the clients that do not behave, by status (0 for none): %v", statuses)
	time.Sleep(3 * time.Second)
	close(stopWatch)
	return p.judgeLost(c, d, kills())
}
