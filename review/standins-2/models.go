package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["models"] = playModels }

// playModels has clients send requests of legal size, each of which names another model that is
// not declared. Each request is answered, and nothing is left open.
func playModels(p *play) int {
	const (
		memoryMB = 284
		ordinary = 24
		crowd    = 200 // clients that do not behave
		length   = 70 * time.Second
		rounds   = 2 // ends of the process after which they stop
		nameSize = maxHeaderBytes - 500
	)
	d := p.startDeployment(1, memoryMB)
	if !p.startEntries() {
		return couldNot
	}
	stopWatch := make(chan struct{})
	kills := p.watchMemory(stopWatch)
	c := p.startCallers(ordinary)
	time.Sleep(2 * time.Second)
	ends := time.Now().Add(length)
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	if !p.trouble {
		time.Sleep(20 * time.Second)
		ends = time.Now()
	}
	for n := range crowd {
		wait.Go(func() {
			conn := &client{address: p.entries[0].caller}
			defer conn.close()
			for i := 0; time.Now().Before(ends) && p.entries[0].starts.Load() <= rounds; i++ {
				name := fmt.Sprintf("m%d-%d-", n, i)
				q := request{id: newID(), method: http.MethodPost, path: chatPath + "2f", deadline: time.Second}
				q.header = headerLine("model", name+strings.Repeat("x", nameSize-len(name))) + headerLine("tokens", "826,292")
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
