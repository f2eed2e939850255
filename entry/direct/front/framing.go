package front

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// net/http drops the length of a request that also has chunks, before a handler
// sees it. Such a request is answered, but its connection must not be used
// again (RFC 9112, section 6.1), so connections note whether a length was sent.

// Listener wraps the accepted connections for that.
type Listener struct{ net.Listener }

// Accept returns the next connection.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c}, nil
}

// clientConn notes whether its client ever sent the name of the length header.
// The name within a body counts too, which costs a connection and no more.
type clientConn struct {
	net.Conn
	length atomic.Bool
	tail   []byte // end of the previous read, in which the name may begin
}

var lengthName = []byte("content-length")

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.length.Load() {
		c.look(p[:n])
	}
	return n, err
}

func (c *clientConn) look(p []byte) {
	seam := append(c.tail, p[:min(len(p), len(lengthName))]...)
	if hasName(seam) || hasName(p) {
		c.length.Store(true)
		return
	}
	rest := p[max(len(p)-len(lengthName)+1, 0):]
	c.tail = append(c.tail[:0], rest...)
}

// hasName reports whether p holds the name in any case.
func hasName(p []byte) bool {
	for {
		i := bytes.IndexAny(p, "Cc")
		if i < 0 || len(p)-i < len(lengthName) {
			return false
		}
		if bytes.EqualFold(p[i:i+len(lengthName)], lengthName) {
			return true
		}
		p = p[i+1:]
	}
}

type connKey struct{}

// ConnContext lets requests find their connection; it is for http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// sawLength reports whether the client of a request has sent a length on its
// connection.
func sawLength(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	return ok && c.length.Load()
}
