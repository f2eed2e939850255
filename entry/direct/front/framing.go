package front

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"peridotchute.example/common/headlimit"
	"peridotchute.example/fleet"
)

// A request with both chunked encoding and a Content-Length is answered, but
// its connection must not be reused (RFC 9112, section 6.1). net/http removes
// the length before a handler sees it. So each connection counts the length
// headers that the client sent and the requests for which net/http reported a
// length. If there are more headers than such requests, one may be hidden.

// Listener wraps accepted connections so that they detect hidden length headers
// and apply the timeouts of the configuration.
type Listener struct {
	net.Listener
	Limits func() fleet.Limits // returns the active limits
	Heads  *headlimit.Budget   // of unfinished heads
}

// Accept waits for the next connection and returns it wrapped.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	head := l.Heads.Wrap(c)
	return &clientConn{Conn: head, head: head, limits: l.Limits}, nil
}

// clientConn counts the occurrences of the header name Content-Length in the
// data that the client sent. An occurrence in a body counts too, which merely
// closes a connection without need.
type clientConn struct {
	net.Conn
	head          *headlimit.Conn // counts the bytes of unfinished heads
	limits        func() fleet.Limits
	idle          atomic.Bool  // waiting for the next request
	lengthNames   atomic.Int64 // occurrences of the header name
	lengthsParsed atomic.Int64 // requests for which net/http reported a length
	tail          []byte       // end of the previous read, which may contain the start of the name
}

var lengthName = []byte("content-length")

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.scanForLength(p[:n])
	}
	return n, err
}

func (c *clientConn) scanForLength(p []byte) {
	const maxTail = 13 // bytes; one less than the length of the name
	boundary := append(c.tail, p[:min(len(p), maxTail)]...)
	c.lengthNames.Add(countNames(boundary) + countNames(p))
	rest := append(c.tail, p...)
	c.tail = append([]byte(nil), rest[max(len(rest)-maxTail, 0):]...)
}

// countNames counts the occurrences of the header name, ignoring case.
func countNames(p []byte) (n int64) {
	for {
		i := bytes.IndexByte(p, '-')
		if i < 0 {
			return n
		}
		const before, after = len("content"), len("-length")
		if i >= before && len(p)-i >= after && bytes.EqualFold(p[i-before:i+after], lengthName) {
			n++
		}
		p = p[i+1:]
	}
}

type connKey struct{}

// ConnContext stores the connection in the context of its requests. It is a
// callback for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// mayHideLength reports whether a chunked request may have had a length too. It
// must be called exactly once for each request.
func mayHideLength(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return false
	}
	if len(r.TransferEncoding) == 0 {
		if r.Header.Get("Content-Length") != "" {
			c.lengthsParsed.Add(1)
		}
		return false
	}
	return c.lengthNames.Load() > c.lengthsParsed.Load()
}

// endHead records that the head of a request was read.
func endHead(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		c.head.End()
	}
}
