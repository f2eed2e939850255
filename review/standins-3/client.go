package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
}

// send sends one request on a new connection.
func send(e *entry, method, path, id, deadlineMS, body string, header ...string) answer {
	limit := 20 * time.Second
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	req, err := http.NewRequest(method, "http://"+e.address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set(wire.ID, id)
	req.Header.Set(wire.Deadline, deadlineMS)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get(wire.Stamp), body: string(raw), err: err}
}
