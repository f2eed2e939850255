package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"peridotchute.example/platform/platformtest"
)

func init() { cases["targets"] = runTargets }

const catchAll = "/" // prefix of a further route

// target is what a client sends in the request line, and what a server has to get.
type target struct{ sent, wanted string }

// runTargets sends requests whose targets are in absolute form or begin with two slashes. Each has
// to reach a server with its path and query unchanged, or to be refused.
func runTargets(r *run) bool {
	d := r.deploy(3, 0)
	c := configuration()
	c.Version = 2
	c.Routes = append(c.Routes, platformtest.Route{Name: "pages", Host: host, Prefix: catchAll, Type: platformtest.TypeSafe, TimeoutMS: 2000, TargetMS: 150, Priority: 1, Service: plainService, MaxAttempts: 2})
	d.store.SetConfig(c)
	e := r.startEntries(d, "edge-1")[0]
	time.Sleep(time.Second)
	targets := []target{
		{"http://" + host + "/?return=/holds/7", "/?return=/holds/7"},
		{"/rooms/a|b", "/rooms/a|b"},
	}
	if r.trouble {
		targets = append(targets,
			target{"http://" + host + "?return=/holds/7", "/?return=/holds/7"},
			target{"//rooms/a|b", "//rooms/a|b"},
		)
	}
	broken := false
	for _, t := range targets {
		id := newID()
		r.note("request %s: POST %s", id, t.sent)
		a := sendRaw(e, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 1800\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody", t.sent, host, wire.ID, id, wire.Deadline))
		r.note("request %s: answer %v", id, a)
		for _, p := range d.plain {
			for _, q := range p.ByID(id) {
				r.note("request %s: server %s got %s %s, ran it: %v", id, p.ID(), q.Method, q.Target, q.Executed)
				broken = broken || q.Executed && q.Target != t.wanted
			}
		}
	}
	return broken
}

// sendRaw writes a request byte for byte and reads the answer.
func sendRaw(e *entry, raw string) answer {
	c, err := net.DialTimeout("tcp", e.address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(c, strings.NewReader(raw)); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get(wire.Stamp), body: string(body), err: err}
}
