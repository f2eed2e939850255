package main

import (
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["descriptors"] = playDescriptors }

// limitFiles sets the descriptors that a process may have, as the platform does.
func limitFiles(pid, n int) error {
	const resourceFiles = 7 // RLIMIT_NOFILE
	limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), resourceFiles, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// playDescriptors has a crowd send small requests that stop just short of their end and stay open.
func playDescriptors(p *play) int {
	const (
		memoryMB = 284
		files    = 4100
		crowd    = files + 100 // at each entry
		ordinary = 8
		quiet    = 30 * time.Second
	)
	p.startDeployment(2, memoryMB)
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Cur < 2*crowd+500 {
		p.log.printf("this process may have %d descriptors only", own.Cur)
		return couldNot
	}
	if !p.startEntries() {
		return couldNot
	}
	for _, e := range p.entries {
		running, _ := e.process()
		if running == nil {
			return couldNot
		}
		if err := limitFiles(running.Pid, files); err != nil {
			p.log.printf("the limit of descriptors cannot be set: %v", err)
			return couldNot
		}
	}
	before := p.startCallers(ordinary)
	time.Sleep(3 * time.Second)
	results := before.end()
	p.log.printf("before: %d of %d ordinary requests served", served(results), len(results))
	if served(results) == 0 {
		return couldNot
	}
	opened := 0
	for i := 0; p.trouble && i < crowd; i++ {
		for _, e := range p.entries {
			conn, err := net.DialTimeout("tcp", e.caller, 200*time.Millisecond)
			if err != nil {
				continue // refused, which is allowed
			}
			opened++
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, unfinishedRequest()) // its connection may have been closed, which is allowed
		}
		if i%20 == 0 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	p.log.printf("the crowd has opened %d connections", opened)
	time.Sleep(5 * time.Second)
	after := p.startCallers(ordinary)
	time.Sleep(quiet)
	p.log.printf("ready: %v %v", p.entries[0].isReady(), p.entries[1].isReady())
	results = after.end()
	lasting, unanswered := overdue(results)
	p.log.printf("with the crowd: %d of %d ordinary requests served in %v; %d lasted longer than their route's timeout, and %d of these had no answer half a second later", served(results), len(results), quiet, lasting, unanswered)
	const allowed = 7
	if unanswered > allowed && 4*unanswered > lasting {
		return broken
	}
	return held
}

// overdue returns how many requests lasted longer than their route's timeout, and how many of
// these had no answer half a second after it.
func overdue(results []result) (lasting, unanswered int) {
	const timeout, late = 800 * time.Millisecond, 500 * time.Millisecond
	for _, r := range results {
		took := r.ended.Sub(r.sent)
		if took <= timeout {
			continue
		}
		lasting++
		if took > timeout+late && r.a.err != nil {
			unanswered++
		}
	}
	return lasting, unanswered
}

// unfinishedRequest is a small request of which the last byte is missing.
func unfinishedRequest() string {
	q := request{id: newID(), method: http.MethodPost, path: bookPath + "2f", body: callerBody, deadline: callerDeadline}
	whole := q.head() + q.body
	return whole[:len(whole)-1]
}
