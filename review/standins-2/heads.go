package main

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["heads"] = playHeads }

// crowdHead is the head of a request of legal size that is made of very many short fields, with a
// body that lacks its last byte.
func crowdHead(id string) string {
	q := request{id: id, method: http.MethodPost, path: bookPath + "2f", body: callerBody, deadline: callerDeadline}
	var fields strings.Builder
	for i := 0; ; i++ {
		line := shortName(i) + ": 1\r\n"
		if len(q.head())+fields.Len()+len(line) > maxHeaderBytes {
			break
		}
		fields.WriteString(line)
	}
	q.header = fields.String()
	whole := q.head() + q.body
	return whole[:len(whole)-1]
}

func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := "a"
	for ; i > 0; i /= len(letters) {
		name += string(letters[i%len(letters)])
	}
	return name
}

// playHeads has a crowd send requests of legal size that stop just short of their end and stay
// open.
func playHeads(p *play) int {
	const (
		memoryMB = 284
		ordinary = 24
		crowd    = 2000
		rounds   = 2 // of the crowd, each until the process ends
	)
	d := p.startDeployment(1, memoryMB)
	if !p.startEntries() {
		return couldNot
	}
	e := p.entries[0]
	stopWatch := make(chan struct{})
	kills := p.watchMemory(stopWatch)
	c := p.startCallers(ordinary)
	time.Sleep(2 * time.Second)
	for round := 1; p.trouble && round <= rounds; round++ {
		defer closeAll(p.openCrowd(e, crowd, int32(round)))
		waitFor(8*time.Second, func() bool { return e.starts.Load() > int32(round) && e.isReady() })
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stopWatch)
	return p.judgeLost(c, d, kills())
}

// openCrowd opens up to n connections to an entry, each with an unfinished request, while the
// entry has been started the given number of times.
func (p *play) openCrowd(e *entry, n int, starts int32) (conns []net.Conn) {
	for i := 0; i < n && e.starts.Load() == starts; i++ {
		conn, err := net.DialTimeout("tcp", e.caller, time.Second)
		if err != nil {
			continue // refused, which is allowed
		}
		conns = append(conns, conn)
		head := crowdHead(newID())
		go func() { _, _ = io.WriteString(conn, head) }()
		if i%20 == 0 {
			time.Sleep(20 * time.Millisecond)
		}
	}
	p.log.printf("the crowd has opened %d connections", len(conns))
	return conns
}

func closeAll(conns []net.Conn) {
	for _, c := range conns {
		_ = c.Close()
	}
}
