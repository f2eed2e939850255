package front

import (
	"net"
	"net/http"
	"time"
)

// The configuration limits the time that a client may take for a header and
// that its connection may be idle. Both limits may change while connections are
// open. The timeouts of http.Server are fixed at its start and apply until the
// first configuration is known.

// ConnState records whether a connection is idle. It is a callback for
// http.Server, which calls it before it sets the read deadline of the new
// state.
func ConnState(c net.Conn, state http.ConnState) {
	if conn, ok := c.(*clientConn); ok {
		conn.idle.Store(state == http.StateIdle)
		if state == http.StateIdle {
			conn.head.Begin()
		}
	}
}

// SetReadDeadline replaces the deadline that http.Server sets for the next
// header by the configured one. Zero deadlines and those in the past are passed
// on unchanged. For an idle connection http.Server sets one deadline until the
// next header begins and another from then on.
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
