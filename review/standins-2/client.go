package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// request is one client attempt.
type request struct {
	id       string
	method   string
	path     string
	body     string
	deadline time.Duration
	header   string // further lines, each with its end
}

func (q request) head() string {
	out := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.path, host)
	out += headerLine("attempt", q.id) + headerLine("deadline", strconv.FormatInt(q.deadline.Milliseconds(), 10)) + q.header
	if q.method == http.MethodPost {
		out += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return out + "\r\n"
}

// answer is what a client has seen of the answer to a request.
type answer struct {
	status int    // 0 if no answer came
	stamp  string // signature of the worker
	body   string
	err    error // why the answer is missing or not whole
	kept   bool  // the request was not the first on its connection
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// client is a caller with one connection, which it keeps.
type client struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
	used    int
}

// send sends a request and reads its answer. After an error the connection is closed.
func (c *client) send(q request) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.in, c.used = conn, bufio.NewReader(conn), 0
	}
	a := answer{kept: c.used > 0}
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, a.err = io.WriteString(c.conn, q.head()+q.body); a.err != nil {
		c.close()
		return a
	}
	r, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	raw, err := io.ReadAll(r.Body)
	a.status, a.stamp, a.body, a.err = r.StatusCode, r.Header.Get(wire.Headers["signature"]), string(raw), err
	if err != nil || r.Close || strings.EqualFold(r.Header.Get("Connection"), "close") {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
