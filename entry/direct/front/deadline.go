package front

import (
	"net"
	"net/http"
	"time"
)

// The configuration bounds how long a client may take for a header and how long
// its connection may be idle, and may change while connections are open. The
// times of http.Server are fixed at its start and apply until a configuration
// is known.

// ConnState notes whether a connection is idle; it is for http.Server, which
// calls it before it sets the deadline of that state.
func ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*clientConn); ok {
		conn.idle.Store(state == http.StateIdle)
	}
}

// SetReadDeadline replaces a deadline that http.Server sets for the next header
// by the one of the configuration. Others, which are none or in the past, stay.
// Of an idle connection http.Server sets one until the next header begins and
// another one from there on.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	if !t.After(now) {
		return c.Conn.SetReadDeadline(t)
	}
	limits := c.limits()
	limit := limits.HeaderTimeout
	if c.idle.CompareAndSwap(true, false) {
		limit = limits.IdleTimeout
	}
	if limit > 0 {
		t = now.Add(limit)
	}
	return c.Conn.SetReadDeadline(t)
}
