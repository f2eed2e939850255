package httpstrict

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// ErrCutRequest is what Conn.Read returns in place of io.EOF if the connection ended during a
// response and before its request was written whole.
var ErrCutRequest = fmt.Errorf("the connection ended before the request was written whole: %w", io.ErrUnexpectedEOF)

// UnknownLength is the length of a body that is not known in advance.
const UnknownLength = -1

// Conn is the client's end of a connection without TLS that carries one HTTP request at a time.
//
// Invariant: a response that ends with its connection ends with io.EOF only if its request was
// written whole. A reset is reported to one call only: after a Write has failed with it, a Read
// finds the plain end of the data.
type Conn struct {
	net.Conn
	writing  sync.Mutex  // held during a Write
	request  progress    // guarded by writing
	answered atomic.Bool // data has been received since the request began
	response recorder
}

// NewConn returns a Conn that uses c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// BeginRequest must be called before a request is written. bodyBytes is the length of its body,
// or UnknownLength.
func (c *Conn) BeginRequest(bodyBytes int64) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.request = progress{begun: true, bodyLeft: bodyBytes}
	c.answered.Store(false)
	c.response.begin()
}

func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.request.wrote(p[:n], err)
	return n, err
}

func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.answered.Store(true)
		c.response.record(p[:n])
	}
	if errors.Is(err, io.EOF) && c.answered.Load() && c.cut() {
		return n, ErrCutRequest
	}
	return n, err
}

// endRecording returns the response as far as it has been received, if its version is HTTP/1.0.
func (c *Conn) endRecording() []byte { return c.response.end() }

// cut reports whether the connection has ended within a response whose request has not been written
// whole. It waits for a Write in progress: one that has written the last bytes may not have returned
// yet.
func (c *Conn) cut() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.answered.Load() && !c.request.whole() // a request that begins meanwhile has no response yet
}

// headEnd is how the head of a request ends.
const headEnd = "\r\n\r\n"

// progress is how much of a request has been written.
type progress struct {
	begun     bool
	failed    bool  // a Write has failed
	headEnded int   // bytes of headEnd that the written part of the head ends with
	bodyLeft  int64 // bytes of the body that have not been written; UnknownLength if that is unknown
}

// wrote records the bytes that a Write has written, and its error.
func (p *progress) wrote(b []byte, err error) {
	if !p.begun {
		return
	}
	p.failed = p.failed || err != nil
	for len(b) > 0 && p.headEnded < len(headEnd) {
		switch b[0] {
		case headEnd[p.headEnded]:
			p.headEnded++
		case headEnd[0]:
			p.headEnded = 1
		default:
			p.headEnded = 0
		}
		b = b[1:]
	}
	if p.bodyLeft > 0 {
		p.bodyLeft -= int64(len(b))
	}
}

// whole reports whether the request has been written whole, also if none has begun.
func (p *progress) whole() bool {
	return !p.begun || !p.failed && p.headEnded == len(headEnd) && p.bodyLeft <= 0
}
