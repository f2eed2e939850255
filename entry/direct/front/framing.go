package front

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"peridotchute.example/fleet"
)

// net/http drops the length of a request that also has chunks, before a handler
// sees it. Such a request is answered, but its connection must not be used
// again (RFC 9112, section 6.1). So connections count the lengths that were
// sent, and the requests for which one was seen.

// Listener wraps the accepted connections for that, and for the times that the
// configuration gives them.
type Listener struct {
	net.Listener
	Limits func() fleet.Limits // in force now
}

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, limits: l.Limits}, nil
}

// clientConn counts how often its client sent the name of the length header.
// The name within a body counts too, which costs a connection and no more.
type clientConn struct {
	net.Conn
	limits func() fleet.Limits
	idle   atomic.Bool // between two requests
	sent   atomic.Int64
	seen   atomic.Int64 // requests with a length
	tail   []byte       // end of the previous read, in which the name may begin
}

var lengthName = []byte("content-length")

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.look(p[:n])
	}
	return n, err
}

func (c *clientConn) look(p []byte) {
	const most = 13 // bytes of the name that one read may end with
	seam := append(c.tail, p[:min(len(p), most)]...)
	c.sent.Add(countNames(seam) + countNames(p))
	rest := append(c.tail, p...)
	c.tail = append([]byte(nil), rest[max(len(rest)-most, 0):]...)
}

// countNames counts the name in any case.
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

// ConnContext lets requests find their connection; it is for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// hidesLength reports whether a request in chunks may have had a length too. It
// is asked once for each request.
func hidesLength(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return false
	}
	if len(r.TransferEncoding) == 0 {
		if r.Header.Get("Content-Length") != "" {
			c.seen.Add(1)
		}
		return false
	}
	return c.sent.Load() > c.seen.Load()
}
