// Package headlimit bounds the memory that the unfinished heads of requests take together.
// net/http reads a head before a handler sees it, and each of its fields takes many times its
// bytes. A crowd of clients that send heads of legal size and stop short of their end fills a
// process in this way.
//
//	heads := headlimit.New(4 << 20)
//	server := &http.Server{Handler: heads.Handler(h), ConnContext: headlimit.ConnContext, ConnState: headlimit.ConnState}
//	server.Serve(heads.Listener(l))
package headlimit

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Budget is the memory of the unfinished heads that one listener may have. When it is used up, the
// connection with the largest one is closed, so that the usual, small ones are read all the while.
// A nil Budget has no limit. It is safe for concurrent use.
//
// Invariant: used is the sum of open, and at most limit after each read.
type Budget struct {
	limit int64

	mu     sync.Mutex
	used   int64
	open   map[*Conn]int64 // memory of unfinished heads, in bytes
	closed int64           // connections that were closed for their heads
}

// New returns a Budget of the given memory in bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, open: map[*Conn]int64{}} }

// State is the section of the state dump.
type State struct {
	Limit  int64 `json:"limit_bytes"`
	Used   int64 `json:"used_bytes"`
	Heads  int   `json:"unfinished_heads"`
	Closed int64 `json:"closed"` // connections, since the start
}

// State returns the current state.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Limit: b.limit, Used: b.used, Heads: len(b.open), Closed: b.closed}
}

// Listener returns a listener whose connections are counted.
func (b *Budget) Listener(l net.Listener) net.Listener { return listener{l, b} }

type listener struct {
	net.Listener
	budget *Budget
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.budget.Wrap(c), nil
}

// Wrap returns a connection whose heads are counted. It is in the first head.
func (b *Budget) Wrap(c net.Conn) *Conn { return &Conn{Conn: c, budget: b, inHead: true} }

// Conn is a connection of a client.
type Conn struct {
	net.Conn
	budget *Budget
	inHead bool // guarded by budget.mu
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.budget != nil && !c.budget.add(c, costOf(p[:n])) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.End()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return sc.SyscallConn()
}

// Begin records that the next bytes belong to a head.
func (c *Conn) Begin() {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.inHead = true
}

// End records that the head was read.
func (c *Conn) End() {
	if c.budget == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.inHead = false
	c.budget.remove(c)
}

// remove takes a connection from those with an unfinished head. The caller holds mu.
func (b *Budget) remove(c *Conn) {
	b.used -= b.open[c]
	delete(b.open, c)
}

// fieldBytes is the memory that a field of a head takes beside its bytes.
const fieldBytes = 150

// costOf returns the memory that a part of a head takes, in bytes.
func costOf(part []byte) int64 {
	return int64(len(part) + fieldBytes*bytes.Count(part, []byte{'\n'}))
}

// add counts memory of a connection's head. It reports whether the connection may go on.
func (b *Budget) add(c *Conn, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !c.inHead {
		return true
	}
	b.open[c] += n
	b.used += n
	for b.used > b.limit {
		largest := b.largest()
		b.remove(largest)
		largest.inHead = false
		b.closed++
		_ = largest.Conn.Close() // its reads and writes fail from now on
		if largest == c {
			return false
		}
	}
	return true
}

// largest returns the connection with the largest unfinished head. The caller holds mu.
func (b *Budget) largest() *Conn {
	var out *Conn
	for c, n := range b.open {
		if out == nil || n > b.open[out] {
			out = c
		}
	}
	return out
}

type connKey struct{}

// ConnContext stores the connection in the context of its requests. It is a callback for
// http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnState follows the requests of a connection. It is a callback for http.Server.
func ConnState(c net.Conn, state http.ConnState) {
	if counted := find(c); counted != nil && state == http.StateIdle {
		counted.Begin()
	}
}

// find returns the counted connection below another one, or nil.
func find(c net.Conn) *Conn {
	for {
		switch below := c.(type) {
		case *Conn:
			return below
		case *tls.Conn:
			c = below.NetConn()
		default:
			return nil
		}
	}
}

// Handler returns a handler that records the end of each head.
func (b *Budget) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			if counted := find(c); counted != nil {
				counted.End()
			}
		}
		next.ServeHTTP(w, r)
	})
}
